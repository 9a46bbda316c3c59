//! Attempts whose connection comes up late, or never, as the balancer's process makes them.

mod common;

use common::gates::Busy;
use common::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Whether a connection to this address is being made by anybody on this machine.
fn is_being_made(address: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let (sockets, port) =
        (std::fs::read_to_string("/proc/net/tcp").unwrap(), format!(":{:04X}", address.port()));
    sockets.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2].ends_with(&port) && fields[3] == SYN_SENT
    })
}

/// Guards upstreams from work for nobody: the time that an attempt tells is what is left when it is written, and a connection
/// that came up late has taken its part of that.
#[test]
fn a_connection_that_comes_up_late_leaves_less_time() {
    // The network tries again after a second, and the balancer gives up after two: a machine that stands still for that long in
    // between has shown nothing.
    let came = (0..5).any(|_| {
        let busy = Busy::start();
        let node = Setup::with(&[busy.address]).start();
        let mut client = node.connect();
        let sent = Instant::now();
        client.write(&book(5000, "x"));
        until("the attempt waits for its connection", || is_being_made(busy.address));
        let Some(stream) = comes_up(&busy.free()) else { return false };
        let told = Message::read(&mut BufReader::new(&stream)).unwrap();
        let told = told.header("x-time-left-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        let left = Duration::from_millis(5000).saturating_sub(sent.elapsed());
        assert!(told.unwrap() <= left + Duration::from_millis(150), "{told:?} of {left:?}");
        // It did wait: the first try of the network came to nothing.
        assert!(left < Duration::from_millis(4900), "{left:?}");
        true
    });
    assert!(came);
}

/// The connection that was being made, if it comes up before the balancer gives it up.
fn comes_up(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2500) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Guards upstreams from work for nobody, and descriptors: a client that leaves while the connection for its attempt is being
/// made takes that along, and what comes up later carries nothing.
#[test]
fn a_client_that_leaves_ends_the_connection_that_is_being_made() {
    let busy = Busy::start();
    let node = Setup::with(&[busy.address]).start();
    let mut client = node.connect();
    client.write(&book_as("gone", "x"));
    until("the attempt waits for its connection", || is_being_made(busy.address));
    drop(client);
    let left = Instant::now();
    until("it waits no more", || !is_being_made(busy.address));
    assert!(left.elapsed() < Duration::from_secs(1), "{:?}", left.elapsed());
    // The next client's request is the first that comes.
    let listener = busy.free();
    let mut next = node.connect();
    next.write(&book_as("next", "x"));
    let first = comes_up(&listener).and_then(|stream| Message::read(&mut BufReader::new(stream)));
    assert_eq!(first.unwrap().header("x-correlation-id"), Some("next"));
}

/// Guards unsafe requests: a connection that never comes up proves that nothing ran, and the request is served elsewhere in
/// time.
#[test]
fn a_connection_that_never_comes_up_is_tried_elsewhere() {
    let busy = Busy::start();
    let good = Upstream::start(Then::Answer(OK));
    // Connections may take 2 s to come up.
    let node = Setup::with(&[busy.address, good.address]).start();
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let mut client = node.connect();
            client.write(&book_as(&format!("id-{n}"), "x"));
            client
        })
        .collect();
    for mut client in clients {
        assert_eq!(client.answer().unwrap().status(), 200);
    }
    assert_eq!(good.seen().len(), 8);
    drop(busy);
}

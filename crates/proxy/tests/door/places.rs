//! Who has a place: beside floods, in a full house, and when the limit is lowered.

use crate::common::*;
use crate::flood::Flood;
use crate::{KNOWN, alone, confirm, served};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Guards the known client, the users' own test: the descriptor limit is low, one address floods, and a known
/// client confirms; what was accepted keeps its answer, and nothing spins or goes deaf.
#[test]
fn a_known_client_confirms_while_an_address_floods_at_the_descriptor_limit() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.operator = format!("{KNOWN}[descriptors]\nlimit = 100\n");
    let node = setup.start();
    let flood = Flood::start(&node, "127.0.0.2", 6);
    until("the flood has come", || flood.opened.load(Ordering::Relaxed) > 500);
    let mut clients: Vec<Client> = (0..4).map(|_| node.connect_from("127.0.0.3")).collect();
    let mut tries = 0;
    for n in 0..50 {
        for (k, client) in clients.iter_mut().enumerate() {
            tries += confirm(&node, "127.0.0.3", client, &format!("{n}-{k}"));
        }
        assert!(node.descriptors() <= 100);
    }
    // Known connections are ended by nobody.
    assert_eq!(tries, 200);
    assert_eq!(upstream.seen().len(), 200);
    // A walker who is not known, at another address, is heard too.
    confirm(&node, "127.0.0.9", &mut node.connect_from("127.0.0.9"), "walker");
    assert!(flood.end() > 1000);
    let mut client = node.connect_from("127.0.0.2");
    confirm(&node, "127.0.0.2", &mut client, "after");
}

/// Guards a lodge's walkers, all behind one address and more than its share of silent ones: beside a flood
/// from elsewhere each books, most at the first try, and the flooding address's own walkers too.
#[test]
fn a_lodges_walkers_are_served_beside_a_flood() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 1024;
    let node = setup.start();
    let flood = Flood::start(&node, "127.0.0.2", 4);
    until("the flood has come", || flood.opened.load(Ordering::Relaxed) > 500);
    let mut walkers = Vec::new();
    let mut tries = 0;
    for n in 0..200 {
        let mut walker = node.connect_from("127.0.0.4");
        tries += confirm(&node, "127.0.0.4", &mut walker, &format!("w{n}"));
        walkers.push(walker);
    }
    assert!(tries <= 210, "{tries} tries for 200 bookings");
    for n in 0..20 {
        confirm(&node, "127.0.0.2", &mut node.connect_from("127.0.0.2"), &format!("own{n}"));
    }
    flood.end();
}

/// Guards the house where every place is owed an answer: whoever comes hears at once, in whole words, that
/// trying again is harmless; those who hold keep what they are owed; a known one finds its place.
#[test]
fn a_full_house_refuses_with_a_word_and_keeps_what_it_has() {
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    (setup.sockets, setup.deadline_ms) = (64, 1500);
    setup.operator = KNOWN.into();
    let node = setup.start();
    // 22 places are the clients', 17 of them open to all; upstreams have 18 connections.
    let mut holders = Vec::new();
    for n in 0..17 {
        let mut holder = node.connect();
        holder.write(&book_as(&format!("h{n}"), "x"));
        until("it is held", || mute.seen().len() == n + 1);
        holders.push(holder);
    }
    for _ in 0..20 {
        let mut late = node.connect();
        let start = Instant::now();
        late.write(&book_as("late", "x"));
        let answer = late.answer().expect("a whole answer");
        assert!(start.elapsed() < Duration::from_millis(1000));
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").unwrap().parse::<f64>().unwrap() > 0.0);
        assert!(late.ends());
    }
    let mut known = node.connect_from("127.0.0.3");
    known.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(known.answer().unwrap().status(), 200);
    for holder in &mut holders {
        assert_eq!(holder.answer().expect("its one answer").status(), 502);
    }
    assert_eq!(mute.seen().len(), 17);
    let mut again = node.connect();
    assert!(again.exchange("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200);
}

/// Guards the limit lowered while running, under what is open: what is held keeps its answer, idle clients
/// make room, known ones still confirm, and once it is raised all is as before.
#[test]
fn the_limit_may_be_lowered_while_running() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 512;
    setup.operator = format!("{KNOWN}keep_alive = 1.0\n");
    let node = setup.start();
    let mut idle = served(&node, 150);
    assert!(node.descriptors() > 150);
    let lowered = std::time::Instant::now();
    node.limit(64);
    until("idle clients make room", || node.descriptors() <= 64);
    // By themselves they would go after 6 s.
    assert!(lowered.elapsed() < Duration::from_secs(5));
    assert!(idle[0].ends() && !idle.is_empty());
    for n in 0..20 {
        confirm(&node, "127.0.0.3", &mut node.connect_from("127.0.0.3"), &format!("k{n}"));
    }
    node.limit(512);
    until("places come back", || {
        let _all = served(&node, 120);
        node.descriptors() > 120
    });
}

/// Guards against clients that half-close, or send a byte a second: they hold a place only while nobody else
/// wants it.
#[test]
fn clients_that_half_close_or_drip_make_room() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let node = setup.start();
    // One that closes its side has gone away, whatever it sent: it holds nothing.
    for text in ["", "POST /book HTTP/1.1\r\n", &look(5000)] {
        let mut half = node.connect();
        half.write(text);
        half.writer().shutdown(std::net::Shutdown::Write).unwrap();
        half.answer();
        assert!(half.ends());
    }
    let mut drips: Vec<Client> = (0..40).map(|_| node.connect()).collect();
    for client in &mut drips {
        let _ = client.writer().write_all(b"P");
    }
    for _ in 0..20 {
        assert_eq!(node.connect().exchange(&book(5000, "x")).status(), 200);
    }
}

//! Clients that close their connections with requests still unread.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// Time that the upstream takes for each request.
const WORK: Duration = Duration::from_millis(300);
const CLOSED_AFTER: Duration = Duration::from_millis(20);
const REQUESTS: usize = 8;
const CLIENTS: usize = 10;

/// An upstream that answers each request after some time, and the number of requests that it has received.
fn slow_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, received) = (listener.local_addr().unwrap(), Arc::<AtomicUsize>::default());
    let count = Arc::clone(&received);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while Message::read(&mut reader).is_some() {
                    count.fetch_add(1, Ordering::SeqCst);
                    sleep(WORK);
                    let _ = (&stream).write_all(OK.as_bytes());
                }
            });
        }
    });
    (address, received)
}

fn pipelined(client: usize, body_bytes: usize) -> String {
    (0..REQUESTS).map(|n| book_as(&format!("c{client}-{n}"), &"x".repeat(body_bytes))).collect()
}

/// Sends requests at once and closes the connection soon after.
fn send_and_close(node: &Node, text: &str, is_reset: bool) {
    let client = node.connect();
    let _ = client.writer().write_all(text.as_bytes());
    sleep(CLOSED_AFTER);
    if is_reset {
        socket2::SockRef::from(&client.writer()).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Guards clients that close behind more than is read ahead: of each only the first request may have begun.
fn nothing_is_forwarded_after_the_close(is_reset: bool) {
    for body_bytes in [20_000, 60_000] {
        let (address, received) = slow_upstream();
        let node = Setup::with(&[address]).start();
        std::thread::scope(|scope| {
            for number in 0..CLIENTS {
                let (node, text) = (&node, pipelined(number, body_bytes));
                scope.spawn(move || send_and_close(node, &text, is_reset));
            }
        });
        sleep(WORK * 4);
        let received = received.load(Ordering::SeqCst);
        assert!(received <= CLIENTS, "{received} of {CLIENTS} clients, {body_bytes} bytes each");
    }
}

#[test]
fn nothing_is_forwarded_after_an_orderly_close_behind_long_requests() {
    nothing_is_forwarded_after_the_close(false);
}

#[test]
fn nothing_is_forwarded_after_a_reset_behind_long_requests() {
    nothing_is_forwarded_after_the_close(true);
}

/// Guards clients that pipeline much and stay: each request gets one answer, and none that is refused was forwarded.
#[test]
fn who_pipelines_much_and_stays_gets_every_answer() {
    for (body_bytes, is_much) in [(100, false), (20_000, false), (60_000, true)] {
        let (address, received) = slow_upstream();
        let node = Setup::with(&[address]).start();
        let mut client = node.connect();
        let (mut writer, text) = (client.writer(), pipelined(0, body_bytes));
        let writes = std::thread::spawn(move || writer.write_all(text.as_bytes()));
        let statuses: Vec<u16> =
            (0..REQUESTS).map(|_| client.answer().expect("an answer").status()).collect();
        writes.join().unwrap().unwrap();
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(received.load(Ordering::SeqCst), served, "{statuses:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
        assert!(served == REQUESTS || (is_much && served > 0), "{statuses:?}");
    }
}

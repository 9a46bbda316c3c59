//! The door as a process on real sockets: floods, the descriptor limit, known clients, full houses.

#[path = "../common/mod.rs"]
mod common;

mod descriptors;
mod flood;
mod known;
mod newcomers;
mod places;

use common::{Client, Node, book_as};

const KNOWN: &str = "[admission]\nreserve = 0.25\nknown = ['127.0.0.3']\n";

/// Books until served, as a client may that is told that trying again is harmless; how many tries it took.
fn confirm(node: &Node, from: &str, client: &mut Client, id: &str) -> usize {
    for tries in 1..50 {
        client.write(&book_as(&format!("{id}-{tries}"), "words"));
        match client.answer() {
            Some(answer) if answer.status() == 200 => return tries,
            Some(answer) => assert_eq!(answer.status(), 503, "{answer:?}"),
            // Ended between two requests, at the moment of this one.
            None => *client = node.connect_from(from),
        }
    }
    panic!("never confirmed");
}

/// Held by tests that flood, and by those that a flood beside them would keep from what they do until their clients have been
/// idle for too long.
fn alone() -> std::sync::MutexGuard<'static, ()> {
    static ALONE: std::sync::Mutex<()> = std::sync::Mutex::new(());
    ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// So many clients that have each been served and keep their connection.
fn served(node: &Node, count: usize) -> Vec<Client> {
    let one = |n| {
        let mut client = node.connect();
        assert_eq!(client.exchange(&book_as(&format!("served{n}"), "x")).status(), 200);
        client
    };
    (0..count).map(one).collect()
}

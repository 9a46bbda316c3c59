//! Upstreams that answer some requests twice, the second time late, whatever has come meanwhile: no client gets an
//! answer that was made for another request.

#[path = "../common/mod.rs"]
mod common;

mod upstreams;

use common::{Node, Setup, book_as, look};
use std::thread;
use upstreams::Lateness;

/// Fresh processes of a test: what each has not seen of its upstreams yet is in question.
const PROCESSES: usize = 12;
const CLIENTS: usize = 16;
const REQUESTS: usize = 20;
const UPSTREAMS: usize = 6;

/// Sends requests of both classes on one connection, and returns the ids of those that were served something else.
fn wrongly_served(node: &Node, client: usize) -> Vec<String> {
    let (mut wrong, mut connection) = (Vec::new(), node.connect());
    for n in 0..REQUESTS {
        let id = format!("id-{client}-{n}");
        let request =
            if (client + n).is_multiple_of(2) { look(2000).replace("77aa", &id) } else { book_as(&id, "x") };
        match connection.try_exchange(&request) {
            Some(answer) if answer.status() == 200 && answer.body != id.as_bytes() => {
                wrong.push(format!("{id} was served {:?}", String::from_utf8_lossy(&answer.body)));
            }
            Some(answer) if answer.header("connection").is_none() => {}
            _ => connection = node.connect(),
        }
    }
    wrong
}

fn assert_no_wrong_answer(lateness: Lateness) {
    let mut wrong = Vec::new();
    for _ in 0..PROCESSES {
        let node = Setup::with(&upstreams::start(UPSTREAMS, lateness)).start();
        thread::scope(|scope| {
            let node = &node;
            let clients: Vec<_> =
                (0..CLIENTS).map(|client| scope.spawn(move || wrongly_served(node, client))).collect();
            clients.into_iter().for_each(|client| wrong.extend(client.join().unwrap()));
        });
    }
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

#[test]
fn a_second_answer_20_to_80_ms_late_answers_no_other_request() {
    assert_no_wrong_answer(Lateness { shortest_ms: 20, longest_ms: 80, share: 0.1, is_last: false });
}

#[test]
fn a_second_answer_up_to_a_quarter_of_a_second_late_answers_no_other_request() {
    assert_no_wrong_answer(Lateness { shortest_ms: 1, longest_ms: 250, share: 0.04, is_last: false });
}

#[test]
fn a_late_second_answer_before_a_hang_answers_no_other_request() {
    assert_no_wrong_answer(Lateness { shortest_ms: 20, longest_ms: 80, share: 0.02, is_last: true });
}

//! The planned end of a balancer as a process: each moment in which a request, a connection or a signal may fall into it.

mod common;

use common::gates::holding;
use common::{LONG, OK, Setup, Then, Upstream, book, book_as, look, until};
use std::io::Write;
use std::time::{Duration, Instant};

/// Longer than new clients are accepted after SIGTERM: a balancer that stood still for so long finds the end of that.
const ACCEPTING: Duration = Duration::from_millis(800);

/// A request of the class `look` under an id of its own.
fn look_as(number: usize) -> String {
    look(5000).replace("77aa", &format!("{number:x}"))
}

/// Guards what was read before the end: a request that stands behind the one in hand has its answer too, and the
/// connection ends with that one.
#[test]
fn a_request_behind_the_one_in_hand_is_answered_before_the_end() {
    let (address, arrived) = holding();
    let mut node = Setup::with(&[address]).start();
    let (mut client, mut resting) = (node.connect(), node.connect());
    client.write(&(book_as("aa", "1") + &book_as("bb", "2")));
    let first = arrived.recv_timeout(LONG).unwrap();
    node.has_read([&client]);
    node.terminate();
    // All connections are told at one moment: this one shows that the other has been, too.
    assert!(resting.ends());
    first.answer("one");
    let answer = client.answer().expect("the first answer");
    assert_eq!((answer.status(), &answer.body[..], answer.header("connection")), (200, &b"one"[..], None));
    arrived.recv_timeout(LONG).expect("the second request").answer("two");
    let answer = client.answer().expect("the second answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"two"[..]));
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(client.ends());
    assert!(node.wait().success());
}

/// Guards whoever has connected and is not accepted yet when the listener closes: with it they would be reset.
#[test]
fn those_who_wait_to_be_accepted_are_let_in_at_the_end() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    node.terminate();
    until("it leaves", || node.has_logged("leaving"));
    node.pause();
    let mut clients: Vec<_> = (0..24).map(|_| node.connect()).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.write(&look_as(n)));
    std::thread::sleep(ACCEPTING);
    node.resume();
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.answer().unwrap_or_else(|| panic!("client {n} has no answer"));
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.ends());
    }
    assert!(node.wait().success());
}

/// Guards a request that arrives on a resting connection just as that is to be closed.
#[test]
fn a_request_on_a_resting_connection_just_at_the_close_has_its_answer() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    let mut clients: Vec<_> = (0..8).map(|_| node.connect()).collect();
    for client in &mut clients {
        assert_eq!(client.exchange(&look(5000)).status(), 200);
    }
    node.terminate();
    until("it leaves", || node.has_logged("leaving"));
    node.pause();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.write(&look_as(n)));
    std::thread::sleep(ACCEPTING);
    node.resume();
    for client in &mut clients {
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.ends());
    }
    assert!(node.wait().success());
}

/// Guards against a send after the end: what is read on a connection that is shut goes nowhere, and is no reset.
#[test]
fn nothing_that_comes_after_the_close_is_sent_on() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    let mut client = node.connect();
    assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    node.terminate();
    assert!(client.ends(), "between requests it is closed");
    client.write(&book_as("late", "x"));
    let _ = client.writer().shutdown(std::net::Shutdown::Write);
    assert!(client.ends(), "no reset, and no answer");
    assert!(node.wait().success());
    assert_eq!(upstream.seen().len(), 1);
}

/// Guards half a request: until the process stops its rest is waited for, at the stop it is refused and not sent on.
#[test]
fn half_a_request_is_refused_when_the_process_stops() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    // The stop comes before the half request's own time is over.
    setup.deadline_ms = 1000;
    let mut node = setup.start();
    let (mut whole, mut half) = (node.connect(), node.connect());
    for (client, id) in [(&mut whole, "aa"), (&mut half, "bb")] {
        client.write(book_as(id, "ab").strip_suffix('b').unwrap());
        node.has_read([&*client]);
    }
    node.terminate();
    node.has_shut();
    let answer = whole.exchange("b");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let answer = half.answer().expect("a refusal");
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(answer.header("retry-after").is_some());
    assert!(node.wait().success());
    assert_eq!(upstream.seen().len(), 1);
}

/// Guards the end against further signals: a second SIGTERM does not hasten it, and what SIGHUP brings does not shorten
/// the time of what was taken.
#[test]
fn further_signals_change_nothing_of_the_end() {
    let (address, arrived) = holding();
    let mut setup = Setup::with(&[address]);
    setup.deadline_ms = 3000;
    let mut node = setup.start();
    let mut client = node.connect();
    client.write(&book(3000, "x"));
    let held = arrived.recv_timeout(LONG).unwrap();
    let told = Instant::now();
    node.terminate();
    until("it leaves", || node.has_logged("leaving"));
    node.terminate();
    setup.deadline_ms = 100;
    node.reload(&setup.text());
    until("the new settings are read", || node.has_logged("read anew"));
    node.terminate();
    // By the new settings all would be over by now.
    std::thread::sleep(Duration::from_millis(1200).saturating_sub(told.elapsed()));
    held.answer("done");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert!(node.wait().success());
}

/// Guards a large answer that its client reads slowly: the end of the process waits for it.
#[test]
fn an_answer_that_is_half_written_is_finished() {
    let (address, arrived) = holding();
    let mut node = Setup::with(&[address]).start();
    let mut client = common::gates::narrow(&node);
    client.write(&look(5000));
    let held = arrived.recv_timeout(LONG).unwrap();
    let body = "x".repeat(64 * 1024);
    node.terminate();
    node.has_shut();
    held.answer(&body);
    // It has begun to come, and the rest is on its way.
    client.writer().peek(&mut [0]).unwrap();
    client.writer().write_all(b"\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(client.answer().expect("all of it").body, body.as_bytes());
    assert!(client.ends());
    assert!(node.wait().success());
}

//! A process that has no descriptor left.

use crate::common::*;
use crate::flood::Flood;
use crate::{alone, confirm, served};
use std::time::Duration;

/// Guards accepted items while the process runs out of descriptors: each gets its one answer, and none is
/// sent again.
#[test]
fn what_is_held_is_answered_though_no_descriptor_is_left() {
    let _alone = alone();
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    (setup.sockets, setup.deadline_ms) = (512, 2500);
    let node = setup.start();
    let mut holders = Vec::new();
    for n in 0..10 {
        let mut holder = node.connect();
        holder.write(&book_as(&format!("h{n}"), "x"));
        holders.push(holder);
    }
    until("all are held", || mute.seen().len() == 10);
    node.limit(node.descriptors() as u64);
    let flood = Flood::start(&node, "127.0.0.2", 2);
    for holder in &mut holders {
        assert_eq!(holder.answer().expect("its one answer").status(), 502);
    }
    flood.end();
    assert_eq!(mute.seen().len(), 10);
    node.limit(512);
    until("all is as before", || {
        let mut client = node.connect();
        client.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        client.answer().is_some_and(|a| a.status() == 200)
    });
}

/// One whose process holds more descriptors than it knows of: they run out before its places do.
fn short(upstream: &Upstream) -> Setup {
    let mut setup = Setup::with(&[upstream.address]);
    (setup.sockets, setup.others) = (512, 80);
    setup.operator = "[admission]\nkeep_alive = 1.0\nunproven = 1.0\nreserve = 0.1\nknown = ['127.0.0.3']\n\
         [descriptors]\nlimit = 128\n"
        .into();
    setup
}

/// Takes every descriptor that a balancer may still open, until one client costs another its place.
fn exhaust(node: &Node) -> Vec<Client> {
    let before = node.logged("no descriptor left: accept");
    let mut taken = Vec::new();
    until("there is none left", || {
        taken.push(node.connect_from("127.0.0.6"));
        let client = taken.last_mut().unwrap();
        client.write("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        node.logged("no descriptor left: accept") > before
    });
    // The one that was made free is to be the spare one again.
    std::thread::sleep(Duration::from_millis(600));
    taken
}

/// Guards discovery where there is no descriptor left: somebody else gives one up, for what it has to tell may
/// not wait.
#[test]
fn discovery_finds_a_descriptor_when_there_is_none() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = short(&upstream);
    // Nobody listens there, so that it holds no descriptor.
    (setup.discovery, setup.asks) = (nobody(), true);
    let node = setup.start();
    let _idle = served(&node, 30);
    let _more = exhaust(&node);
    let (next, calls) = discovery();
    setup.discovery = next;
    node.reload(&setup.text());
    // Idle clients go by themselves after 6 s.
    calls.recv_timeout(Duration::from_secs(3)).unwrap();
}

/// Guards a new configuration where there is no descriptor left to read it on.
#[test]
fn a_configuration_is_read_when_there_is_no_descriptor() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let setup = short(&upstream);
    let node = setup.start();
    let _idle = served(&node, 30);
    let _more = exhaust(&node);
    node.reload(&setup.text());
    until("it is read", || node.has_logged("configuration read anew"));
}

/// Guards a request whose attempt finds no descriptor: an idle client gives one up, and it is served.
#[test]
fn an_attempt_finds_a_descriptor_when_there_is_none() {
    let _alone = alone();
    const ONCE: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
    let upstream = Upstream::start(Then::AnswerAndClose(ONCE));
    let node = short(&upstream).start();
    let mut kept = node.connect_from("127.0.0.3");
    assert_eq!(kept.exchange(&book_as("first", "x")).status(), 200);
    let _idle = served(&node, 30);
    let _taken = exhaust(&node);
    assert_eq!(kept.exchange(&book_as("again", "x")).status(), 200);
}

/// Guards idle clients where the process is at its limit and nobody new comes: none of them is ended.
#[test]
fn at_the_limit_nobody_is_ended_for_nobody() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let node = short(&upstream).start();
    let mut idle = served(&node, 30);
    let taken = exhaust(&node);
    let held = node.descriptors();
    std::thread::sleep(Duration::from_millis(500));
    assert!(node.descriptors() >= held);
    assert_eq!(idle[29].exchange(&book_as("still", "x")).status(), 200);
    drop(taken);
}

/// Guards accepting where the process has no descriptor left at all, whatever the balancer thinks that it may
/// hold: it neither spins nor goes deaf.
#[test]
fn no_descriptor_left_is_no_end() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 512;
    setup.operator = "[admission]\nkeep_alive = 1.0\n".into();
    let node = setup.start();
    let _idle = served(&node, 40);
    // The lowest that a process may serve with is more than this: only failures tell.
    node.limit(30);
    // Accept: a client that comes is served, or told so; none is left without a word.
    for n in 0..20 {
        confirm(&node, "127.0.0.5", &mut node.connect_from("127.0.0.5"), &format!("a{n}"));
    }
    // No spin, though more wait than can be accepted: a fifth of a core is far more than it needs.
    let _waiting: Vec<Client> = (0..60).map(|_| node.connect()).collect();
    let before = node.cpu();
    std::thread::sleep(Duration::from_secs(2));
    let used = node.cpu() - before;
    assert!(used < 100, "{used} hundredths in 2 s");
}

//! Answers that break, and readers that do not read.

use crate::common::*;
use crate::{CLASSES, Rig};
use futures_util::StreamExt;
use maplehook_test_servers::app::patterned;
use std::io::Read;
use std::time::Duration;

/// Guards an answer's end: one that breaks, or falls silent, half way ends so that its client can tell.
#[test]
fn an_answer_that_breaks_half_way_is_not_taken_for_whole() {
    let rig = Rig::new(&CLASSES.replace("deadline_ms = 5000", "deadline_ms = 5000\nidle_ms = 300"));
    let torn = [("/break/1000000", 1_000_000), ("/torn/1000000", 1_000_000), ("/silent/200000", 200_000)];
    for (path, length) in torn {
        let response = rig.get(path);
        assert_eq!(response.status(), 200);
        assert!(rig.runtime.block_on(response.bytes()).is_err(), "{path}: {length} bytes were not sent");
    }
    // A short one is not begun before it is here: the client hears of nothing else.
    for path in ["/break/2000", "/silent/2000"] {
        let response = rig.get(path);
        assert_eq!(
            (response.status().as_u16(), &response.headers()["x-maplehook"]),
            (503, &"refused".parse().unwrap())
        );
        assert!(response.headers().contains_key("retry-after"), "{path}");
    }
    assert_eq!(rig.get("/status/200").status(), 200);
}

/// Guards memory and the upstream: fifty long answers at once to readers who hardly read take little of either.
#[test]
fn slow_readers_cost_their_bounded_share() {
    let rig = Rig::new(CLASSES);
    let mut clients: Vec<Client> = (0..50).map(|_| rig.node.connect()).collect();
    for client in &mut clients {
        client.write("GET /bytes/20000000 HTTP/1.1\r\nHost: app\r\n\r\n");
    }
    until("all answers have begun", || rig.app.seen().len() == 50);
    let mut made = 0;
    until("the application has no room to go on", || {
        std::mem::replace(&mut made, rig.app.made()) == rig.app.made() && made > 0
    });
    std::thread::sleep(Duration::from_millis(200));
    let made = rig.app.made();
    // What it may run ahead is in the kernel's buffers.
    assert!(made < 50 * 15_000_000, "{made} bytes were made");
    // Fifty others want memory, and get their answers.
    for _ in 0..50 {
        assert_eq!(rig.bytes(rig.get("/bytes/60000")).len(), 60_000);
    }
    assert!(rig.node.peak_memory() < 32 * 1024, "{} KiB", rig.node.peak_memory());
    for client in clients.iter_mut().take(10) {
        let mut read = Vec::new();
        let mut stream = client.writer();
        while read.len() < 20_000_000 {
            let mut part = [0; 65_536];
            let n = stream.read(&mut part).unwrap();
            assert_ne!(n, 0);
            read.extend_from_slice(&part[..n]);
        }
        let head = read.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        while read.len() < 20_000_000 + head {
            let mut part = [0; 4096];
            let n = stream.read(&mut part).unwrap();
            read.extend_from_slice(&part[..n]);
        }
        assert!(read[head..] == patterned(20_000_000));
    }
    assert!(rig.node.peak_memory() < 32 * 1024, "{} KiB", rig.node.peak_memory());
}

/// Guards a client who never reads: it is given up, its upstream's connection ends, and nobody else notices.
#[test]
fn a_client_that_never_reads_is_given_up() {
    let rig = Rig::new(&format!("[balancer]\nstall_ms = 400\n{CLASSES}"));
    let idle = rig.node.descriptors();
    let mut client = rig.node.connect();
    client.write("GET /bytes/50000000 HTTP/1.1\r\nHost: app\r\n\r\n");
    let before = rig.app.connections();
    until("it has begun", || rig.app.made() > 0);
    until("it is given up", || {
        let at = rig.app.made();
        std::thread::sleep(Duration::from_millis(50));
        at == rig.app.made() && rig.node.descriptors() <= idle
    });
    assert!(rig.app.connections() >= before);
    assert_eq!(rig.get("/status/200").status(), 200);
}

/// Guards what is under way at a planned end: an answer that streams is finished, new connections are not taken.
#[test]
fn a_planned_end_finishes_what_streams() {
    let mut rig = Rig::new(CLASSES);
    let response = rig.get("/events/4/500");
    let mut events = response.bytes_stream();
    assert!(rig.runtime.block_on(events.next()).unwrap().is_ok());
    rig.node.terminate();
    for n in 1..4 {
        assert_eq!(rig.runtime.block_on(events.next()).unwrap().unwrap(), format!("data: {n}\n\n"));
    }
    assert!(rig.runtime.block_on(events.next()).is_none());
    assert!(rig.node.wait().success());
}

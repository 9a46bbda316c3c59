//! What operators are told, and that they are answered.

use crate::common::*;
use crate::{look_as, operated};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// Guards the figures: each request counts once, under its class, as its client has heard it; attempts as upstreams have
/// seen them.
#[test]
fn figures_agree_with_an_independent_count() {
    let upstreams = [OK, ERROR, TURNED_AWAY].map(|text| Upstream::start(Then::Answer(text)));
    let node = operated(&upstreams.each_ref().map(|u| u.address)).start();
    let mut client = node.connect();
    let (mut heard, classes) = ([[0; 3]; 2], ["look", "book"]);
    for n in 0..300 {
        let text = if n % 2 == 0 { look_as(&format!("l{n}")) } else { book_as(&format!("b{n}"), "x") };
        let answer = client.exchange(&text);
        let kind = match answer.status() {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        heard[n % 2][kind] += 1;
    }
    for (class, heard) in classes.iter().zip(heard) {
        for (kind, count) in ["answered", "deferred", "errored"].iter().zip(heard) {
            assert_eq!(
                node.figure(&format!("balancer_{kind}_total{{group=\"{class}\"}}")),
                count,
                "{class} {kind}"
            );
        }
    }
    assert!(heard[1][2] > 0, "the errors were met");
    let seen: usize = upstreams.iter().map(|u| u.seen().len()).sum();
    assert_eq!(node.figure("balancer_sends_total"), seen as u64);
    assert_eq!(node.figure("balancer_answered_total{group=\"keyed\"}"), 0);
    assert_eq!((node.figure("balancer_current"), node.figure("balancer_cluster_size")), (0, 3));
}

/// Guards `current`, the list's figures, and a client that leaves: it counts for none of the three.
#[test]
fn what_is_held_and_what_is_listed_shows() {
    let mute = Upstream::start(Then::Mute);
    let (discovery, calls) = discovery();
    let mut setup = operated(&[mute.address]);
    (setup.discovery, setup.asks) = (discovery, true);
    let node = setup.start();
    let mut held: Vec<Client> = (0..4).map(|_| node.connect()).collect();
    for (n, client) in held.iter_mut().enumerate() {
        client.write(&book_as(&format!("h{n}"), "x"));
    }
    until("all are held", || {
        node.figure("balancer_current") == 4 && node.figure("balancer_sends_total") == 4
    });
    drop(held);
    until("all have left", || node.figure("balancer_current") == 0);
    for kind in ["answered", "deferred", "errored"] {
        assert_eq!(node.figure(&format!("balancer_{kind}_total{{group=\"book\"}}")), 0);
    }
    let (_, stream) = calls.recv_timeout(LONG).unwrap();
    let entries = [("s-0", "Ready"), ("s-1", "Ready"), ("s-2", "Terminating")];
    let entries = entries.map(|(uid, state)| entry(uid, mute.address, state));
    tell(&stream, &list(2, true, &entries));
    until("the list is counted", || node.figure("balancer_cluster_size") == 3);
    until("who drains is avoided", || node.figure("balancer_cluster_unhealthy") == 1);
}

/// Guards operators against whoever else calls: silent, half and odd callers keep nobody out, and hold no more than their
/// few descriptors.
#[test]
fn an_operator_is_answered_at_once_whoever_else_calls() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = operated(&[upstream.address]).start();
    until("it is ready", || node.call("/control/ready").status() == 200);
    let before = node.descriptors();
    let mut idle: Vec<Client> = (0..60).map(|_| node.caller()).collect();
    idle.iter_mut().step_by(2).for_each(|caller| caller.write("GET /control/rea"));
    for _ in 0..3 {
        let start = Instant::now();
        assert_eq!(node.call("/control/ready").status(), 200);
        // A second is what is promised, with 60 before it that have 200 ms each at 16 places.
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    }
    assert!(node.descriptors() <= before + 16, "{} and {before}", node.descriptors());
    for (text, status) in [
        ("GET /control/counters?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        ("GET /control HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        ("POST /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 405),
        ("GET /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 400),
        ("DELETE /control/counters HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        ("\u{1}nonsense\r\n\r\n", 400),
    ] {
        let mut caller = node.caller();
        caller.write(text);
        let answer = caller.answer();
        assert_eq!(answer.map(|a| a.status()), Some(status), "{text:?}");
    }
    // Clients' address answers no operator.
    let call = "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(node.connect().exchange(call).status() / 100, 4);
}

/// Guards a balancer without the address, and one whose address is another's.
#[test]
fn an_address_that_cannot_be_bound_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup::with(&[nobody()]);
    assert_eq!(setup.start().control, None);
    let bad =
        setup.text().replace(r#""name""#, &format!(r#""operator":"{}","name""#, taken.local_addr().unwrap()));
    let path = std::env::temp_dir().join(format!("maplehook-taken-{}.json", std::process::id()));
    std::fs::write(&path, bad).unwrap();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_maplehook"))
        .env("NODE_CONFIG", &path)
        .output()
        .unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(!out.status.success() && text.contains("operators' calls on 127.0.0.1"), "{text}");
    std::fs::remove_file(path).unwrap();
}

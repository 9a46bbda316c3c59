//! When a balancer is ready, and whom it serves, while discovery is down, silent or crowded.

mod common;

use common::*;
use maplehook_test_servers::registry::Registry;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
const CROWDED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Nine in ten restarted balancers have to be ready within 10 s, or 6 s on short days. A list in hand needs neither.
const SOON: Duration = Duration::from_secs(3);
/// After discovery is back: one wait after a refused call, one slow answer, and a busy machine.
const ONCE_BACK: Duration = Duration::from_secs(6);

/// What discovery does about a call.
#[derive(Clone, Copy, Debug)]
enum Discovery {
    /// Nobody listens.
    Down,
    /// Calls are taken and never answered.
    Silent,
    /// Calls are turned away.
    Crowded,
}

impl Discovery {
    /// Its address. What it does goes on for as long as the tests run.
    fn start(self) -> SocketAddr {
        let registry = match self {
            Self::Down => return nobody(),
            Self::Silent | Self::Crowded => Registry::start(),
        };
        let address = registry.address();
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            while let Some(call) = registry.call_within(LONG) {
                if matches!(self, Self::Crowded) {
                    call.write(CROWDED);
                }
                calls.push(call);
            }
        });
        address
    }
}

fn is_ready(node: &Node) -> bool {
    node.connect().exchange(READY).status() == 200
}

/// Guards a restarted balancer against the state of discovery: with the list that it last had it is ready at once and
/// serves, whether lists are asked for or pushed.
#[test]
fn a_list_in_hand_is_enough_whatever_discovery_does() {
    for discovery in [Discovery::Down, Discovery::Silent, Discovery::Crowded] {
        for asks in [true, false] {
            let upstream = Upstream::start(Then::Answer(OK));
            let mut setup = Setup::with(&[upstream.address]);
            (setup.discovery, setup.asks) = (discovery.start(), asks);
            let begun = Instant::now();
            let node = setup.start();
            until("it is ready", || is_ready(&node));
            assert!(begun.elapsed() < SOON, "{discovery:?}, asks: {asks}: {:?}", begun.elapsed());
            assert_eq!(
                node.connect().exchange(&book(5000, "x")).status(),
                200,
                "{discovery:?}, asks: {asks}"
            );
        }
    }
}

/// Guards clients against a balancer that knows nothing: it refuses plainly and at once, and serves within the protocol's
/// time after discovery has come back. The front is told that it is ready all the same, see docs/ACCEPTANCE.md.
#[test]
fn without_a_list_it_refuses_plainly_until_discovery_is_back() {
    for asks in [true, false] {
        let (registry, upstream) = (Registry::start(), Upstream::start(Then::Answer(OK)));
        let mut setup = Setup::with(&[]);
        (setup.discovery, setup.asks) = (registry.address(), asks);
        let node = setup.start();
        let refused = registry.call();
        refused.write(CROWDED);
        drop(refused);
        assert!(is_ready(&node), "asks: {asks}");
        let begun = Instant::now();
        assert_eq!(node.connect().exchange(&book(8000, "x")).status(), 503, "asks: {asks}");
        assert!(begun.elapsed() < SOON, "the refusal waits for nothing");
        // From here on discovery answers.
        let back = Instant::now();
        let watch = registry.call();
        watch.answer(&list(2, true, &[entry("s-0", upstream.address, "Ready")]));
        let mut client = node.connect();
        until("it serves", || client.exchange(&book(5000, "x")).status() == 200);
        assert!(back.elapsed() < ONCE_BACK, "asks: {asks}: {:?}", back.elapsed());
    }
}

/// Guards the reserves of upstreams and of discovery against idle clients that fill all places while discovery is down: who
/// comes then is let in or told plainly, an upstream is reached, and what discovery has to tell at its return is heard.
#[test]
fn idle_clients_leave_room_for_upstreams_and_for_discovery_when_it_is_back() {
    let (registry, upstream) = (Registry::start(), Upstream::start(Then::Answer(OK)));
    let mut setup = Setup::with(&[upstream.address]);
    (setup.sockets, setup.discovery, setup.asks) = (64, registry.address(), true);
    let mut node = setup.start();
    let mut idle = Vec::new();
    for _ in 0..100 {
        let mut client = node.connect();
        client.write(READY);
        // The answer, or an end without one where there is no place.
        client.answer();
        idle.push(client);
    }
    let refused = registry.call();
    refused.write(CROWDED);
    drop(refused);
    let mut client = node.connect();
    assert_eq!(client.exchange(&book(8000, "x")).status(), 200, "an upstream is reached");
    let watch = registry.call();
    watch.answer(&list(2, true, &[entry("s-0", upstream.address, "Terminating")]));
    until("the drain is heard", || upstream.ended() == 1);
    assert_eq!(client.exchange(&book_as("bb", "x")).status(), 503);
    assert_eq!(upstream.seen().len(), 1);
    assert!(node.runs());
    drop(idle);
}

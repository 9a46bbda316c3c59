//! The list of upstreams as a balancer follows it on real connections: in every form, whole and in changes, over ends,
//! silence and moves of discovery.

mod common;

use common::*;
use maplehook_test_servers::registry::{CHUNKED, Call, Registry, chunk};
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What the protocol leaves of its 6 s for an answer that takes as long as any may, 2.5 s.
const CALLED_AGAIN: Duration = Duration::from_millis(3500);

/// A balancer that knows these upstreams and has its list from there; `asks`: it asks for it, else it is pushed.
fn balancer(upstreams: &[SocketAddr], registry: &Registry, asks: bool) -> (Setup, Node) {
    let mut setup = Setup::with(upstreams);
    (setup.discovery, setup.asks) = (registry.address(), asks);
    let node = setup.start();
    (setup, node)
}

/// A whole list of this upstream alone.
fn only(rev: u64, upstream: &Upstream) -> String {
    list(rev, true, &[entry(&format!("only-{rev}"), upstream.address, "Ready")])
}

/// Waits until requests go there.
fn serves(node: &Node, upstream: &Upstream) {
    let (mut client, before) = (node.connect(), upstream.seen().len());
    until("requests go there", || {
        client.exchange(&look(5000));
        upstream.seen().len() > before
    });
}

/// Guards the drain rule: once told that an upstream drains or is gone, nothing new goes there, not even on
/// a connection that is still open.
#[test]
fn nothing_new_goes_to_an_upstream_that_drains_or_is_gone() {
    for (state, asks) in [("Terminating", true), ("Gone", true), ("Terminating", false), ("Gone", false)] {
        let leaving = Upstream::start(Then::Answer(OK));
        let (discovery, calls) = discovery();
        let mut setup = Setup::with(&[leaving.address]);
        (setup.discovery, setup.asks) = (discovery, asks);
        let node = setup.start();
        let mut client = node.connect();
        assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
        let (target, watch) = calls.recv_timeout(LONG).unwrap();
        assert!(target.contains("stream=1") && target.contains("index=1"), "{target}");
        tell(&watch, &list(2, false, &[entry("s-0", leaving.address, state)]));
        until("its idle connection is closed", || leaving.ended() == 1);
        assert_eq!(client.exchange(&book(5000, "x")).status(), 503);
        assert_eq!(leaving.seen().len(), 1);
    }
}

/// Guards against a pushed list that is heard once and never again: no one asks the module for it, and all that the
/// agent holds counts as told from then on.
#[test]
fn a_pushed_list_is_followed_again_after_each_end() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[]);
    setup.discovery = discovery;
    let node = setup.start();
    for rev in 2..5 {
        let (target, watch) = calls.recv_timeout(LONG).expect("a watch");
        assert!(rev == 2 || target.contains(&format!("index={}", rev - 1)), "{target}");
        tell(&watch, &list(rev, true, &[entry("s-9", upstream.address, "Ready")]));
        let mut client = node.connect();
        until("the list has come", || client.exchange(&look(5000)).status() == 200);
    }
}

/// Guards against an upstream being taken for its address: one that has moved is followed.
#[test]
fn an_upstream_that_moves_is_followed() {
    let (before, after) = (Upstream::start(Then::Answer(OK)), Upstream::start(Then::Answer(OK)));
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[before.address]);
    (setup.discovery, setup.asks) = (discovery, true);
    let node = setup.start();
    let mut client = node.connect();
    assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    let (_, watch) = calls.recv_timeout(LONG).unwrap();
    tell(&watch, &list(2, false, &[entry("s-0", after.address, "Ready")]));
    until("the connection to its old place is closed", || before.ended() == 1);
    assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    assert_eq!((before.seen().len(), after.seen().len()), (1, 1));
}

/// Guards against a missed change: a line that can't be read may have been a drain, so the whole list is
/// asked for. An entry that can't be read costs only itself.
#[test]
fn an_unreadable_line_has_the_list_asked_for_again() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[]);
    (setup.discovery, setup.asks) = (discovery, true);
    let mut node = setup.start();
    let (_, watch) = calls.recv_timeout(LONG).unwrap();
    tell(&watch, "");
    tell(&watch, "{\"rev\":5,\"all\":tr");
    let (target, watch) = calls.recv_timeout(LONG).unwrap();
    assert!(target.contains("index=0"), "{target}");
    let odd = r#"{"uid":7,"endpoint":[],"state":"Ready"}"#.to_owned();
    let lost = r#"{"uid":"s-8","endpoint":"nowhere","state":"Ready"}"#.to_owned();
    tell(&watch, &list(9, true, &[odd, lost, entry("s-9", upstream.address, "Ready")]));
    let mut client = node.connect();
    until("the list has come", || client.exchange(&look(5000)).status() == 200);
    assert!(node.runs());
}

/// Guards against a watch that is dead without having ended: it says something every 2 s or is given up.
#[test]
fn a_silent_watch_is_given_up() {
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[nobody()]);
    (setup.discovery, setup.asks) = (discovery, true);
    let _node = setup.start();
    // Each says something first: what was never answered the module asks for again by itself.
    let (_, silent) = calls.recv_timeout(LONG).unwrap();
    tell(&silent, &list(2, true, &[]));
    let (_, mut dripping) = calls.recv_timeout(LONG).expect("another call");
    tell(&dripping, &list(3, true, &[]));
    // Bytes without a line say nothing either.
    std::thread::spawn(move || {
        while dripping.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    calls.recv_timeout(LONG).expect("a third call");
}

/// Guards against an end by SIGHUP, and against stale lists after discovery has moved: the watch goes to the
/// new address at once and goes on from the list in hand; nothing that the old one does later matters. A
/// configuration that can't be read changes nothing.
#[test]
fn a_hangup_moves_the_watch_and_keeps_all_else() {
    let (first, second) = (Upstream::start(Then::Answer(OK)), Upstream::start(Then::Answer(OK)));
    let (old, old_calls) = discovery();
    let (new, new_calls) = discovery();
    let mut setup = Setup::with(&[first.address]);
    (setup.discovery, setup.asks) = (old, true);
    let mut node = setup.start();
    let mut client = node.connect();
    assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    let (_, old_watch) = old_calls.recv_timeout(LONG).unwrap();
    tell(&old_watch, &list(7, true, &[entry("s-0", first.address, "Ready")]));

    node.reload("{");
    until("a bad file is named", || node.has_logged("stays as it is"));
    node.reload(&setup.text());
    until("a good one is read", || node.has_logged("read anew"));
    setup.discovery = new;
    node.reload(&setup.text());
    let (target, new_watch) = new_calls.recv_timeout(LONG).expect("a watch at the new address");
    assert!(target.contains("stream=1") && target.contains("index=7"), "{target}");
    assert!(old_calls.try_recv().is_err(), "the same address again, or none, is no reason to call");
    drop((old_watch, old_calls));
    assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    assert_eq!(first.connections(), 1, "connections stay");
    tell(&new_watch, &list(8, true, &[entry("s-1", second.address, "Ready")]));
    until("the new address is heeded", || {
        client.exchange(&book(5000, "x"));
        !second.seen().is_empty()
    });
    assert!(new_calls.try_recv().is_err(), "one call was enough");
    assert!(node.runs());
}

/// The same list over several lines.
fn indented(text: &str) -> String {
    text.replace('{', "{\r\n ").replace(',', ",\n\n\t").replace(']', "\n]")
}

/// An answer that states its length.
fn sized(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// Discovery answers in these forms, one call after another, each time with another upstream alone on the list: requests
/// go there. The last form goes byte by byte, each one on its way before the next, and the watch stays open.
fn reads(forms: &[&dyn Fn(&str) -> String]) {
    let (upstreams, registry) = ([(); 2].map(|()| Upstream::start(Then::Answer(OK))), Registry::start());
    let (_, node) = balancer(&[], &registry, false);
    for (n, of) in forms.iter().enumerate() {
        let upstream = &upstreams[n % 2];
        registry.call().write(of(&only(2 + n as u64, upstream)));
        serves(&node, upstream);
    }
    let (call, upstream) = (registry.call(), &upstreams[forms.len() % 2]);
    for byte in forms[0](&only(99, upstream)).bytes() {
        call.write([byte]);
        std::thread::yield_now();
    }
    serves(&node, upstream);
    assert!(!call.given_up_within(Duration::from_millis(100)));
}

/// Guards against a list that is lost because of the form of its answer.
#[test]
fn a_list_is_read_in_every_form() {
    reads(&[
        // One line.
        &|text| format!("{CHUNKED}{}", chunk(&format!("{text}\n"))),
        // CRLF, after empty lines.
        &|text| format!("{CHUNKED}{}", chunk(&format!("\r\n\n{text}\r\n"))),
        // Extensions of chunks.
        &|text| {
            let (a, b) = text.split_at(30);
            format!("{CHUNKED}{:x};a=b\r\n{a}\r\n{:X} ; c=\"d\"\r\n{b}\n\r\n", a.len(), b.len() + 1)
        },
        // A length.
        &|text| sized(&format!("{text}\n")),
        // Until the connection ends.
        &|text| format!("HTTP/1.0 200 OK\r\n\r\n{text}\n"),
        // After an interim answer.
        &|text| format!("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n{CHUNKED}{}", chunk(&format!("{text}\n"))),
    ]);
}

/// Guards against a list over several lines, or with no end of line, that is taken for a spoilt one or waited for.
#[test]
fn an_indented_list_is_read() {
    reads(&[
        &|text| format!("{CHUNKED}{}", chunk(&format!("{}\n", indented(text)))),
        &|text| sized(&indented(text)),
        &|text| format!("{CHUNKED}{}", chunk(text)),
    ]);
}

/// Guards the list in hand against answers that are none, and a pushed list against one that is not asked for again.
/// A whole list of nobody is a list.
#[test]
fn what_is_no_list_changes_nothing_and_is_asked_for_again() {
    let (upstream, registry) = (Upstream::start(Then::Answer(OK)), Registry::start());
    let (_, node) = balancer(&[upstream.address], &registry, false);
    let mut client = node.connect();
    for bad in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[]\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"rev\":9,\"all\":true,\"targets\":",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nnothing here",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "nonsense\r\n\r\n",
    ] {
        registry.call().write(bad);
        assert_eq!(client.exchange(&look(5000)).status(), 200, "{bad:?}");
    }
    registry.call().answer(&list(9, true, &[]));
    until("nobody is left", || client.exchange(&look(5000)).status() == 503);
}

/// Guards the drain rule where a watch ends in place of telling: the first answer to the next call is a whole list, and
/// what it does not name gets nothing new, though it still answers. The same on a line of the watch.
#[test]
fn what_a_whole_list_does_not_name_is_gone() {
    for ends in [true, false] {
        let both = [(); 2].map(|()| Upstream::start(Then::Answer(OK)));
        let registry = Registry::start();
        let (_, node) = balancer(&[both[0].address, both[1].address], &registry, true);
        let watch = registry.call();
        watch.answer(&list(2, false, &[]));
        serves(&node, &both[0]);
        let left = list(3, true, &[entry("s-1", both[1].address, "Ready")]);
        if ends {
            drop(watch);
            let next = registry.call();
            assert!(next.target.ends_with("index=2"), "{}", next.target);
            next.answer(&left);
            until("its idle connection is closed", || both[0].ended() == 1);
            assert_no_more(&node, &both);
        } else {
            watch.write(chunk(&format!("{left}\n")));
            until("its idle connection is closed", || both[0].ended() == 1);
            assert_no_more(&node, &both);
        }
    }
}

fn assert_no_more(node: &Node, [gone, left]: &[Upstream; 2]) {
    let (mut client, before) = (node.connect(), gone.seen().len());
    for _ in 0..8 {
        assert_eq!(client.exchange(&look(5000)).status(), 200);
    }
    assert_eq!((gone.seen().len(), left.seen().len() >= 8), (before, true));
}

/// Guards against a balancer that is deaf after discovery has begun to count anew: it asks for the whole list.
#[test]
fn a_version_that_goes_back_has_the_whole_list_asked_for() {
    let (upstream, registry) = (Upstream::start(Then::Answer(OK)), Registry::start());
    let (_, node) = balancer(&[nobody()], &registry, false);
    registry.call().answer(&list(41, true, &[]));
    let after = registry.call();
    assert!(after.target.ends_with("index=41"), "{}", after.target);
    after.answer(&list(3, false, &[]));
    let anew = registry.call();
    assert!(anew.target.ends_with("index=0"), "{}", anew.target);
    anew.answer(&only(3, &upstream));
    serves(&node, &upstream);
}

/// Guards the 6 s where discovery falls silent at any step, before its first line, right after it or in the middle of
/// one: the next call comes while there is time for a slow answer.
#[test]
fn silence_at_any_step_is_called_again_in_time() {
    let line = chunk(&format!("{}\n", list(2, true, &[])));
    let half = &line[..line.len() / 2];
    let steps = [
        String::new(),
        "HTTP/1.1 200 OK\r\nTransfer-".to_owned(),
        CHUNKED.to_owned(),
        format!("{CHUNKED}{half}"),
        format!("{CHUNKED}{line}"),
        format!("{CHUNKED}{line}{half}"),
    ];
    let silent = |written: String| {
        let registry = Registry::start();
        let (_, _node) = balancer(&[nobody()], &registry, true);
        let call = registry.call();
        call.write(&written);
        let next = registry.call();
        (written, next.at - call.at)
    };
    let all = steps.map(|written| std::thread::spawn(move || silent(written)));
    for (written, took) in all.map(|thread| thread.join().unwrap()) {
        assert!(took < CALLED_AGAIN, "{took:?} after {written:?}");
    }
}

/// Guards a pushed list, which counts as told in the moment in which discovery is back: a call to an agent that says
/// nothing is over within the grace of a drain.
#[test]
fn a_silent_agent_is_asked_again_at_once() {
    let (upstream, registry) = (Upstream::start(Then::Answer(OK)), Registry::start());
    let (_, node) = balancer(&[], &registry, false);
    let calls: Vec<Call> = (0..3).map(|_| registry.call()).collect();
    for pair in calls.windows(2) {
        let took = pair[1].at - pair[0].at;
        assert!(took < Duration::from_millis(500), "{took:?}");
    }
    registry.call().answer(&only(2, &upstream));
    serves(&node, &upstream);
}

/// Guards the call at a new address: whether the one at the old address was out, or discovery was down and the next one
/// was to be made later, it is made at once, once, and its answer is waited for.
#[test]
fn a_hangup_calls_the_new_address_at_once_and_waits_for_its_answer() {
    let moves = |down: bool| {
        let (old, new) = (Registry::start(), Registry::start());
        let upstream = Upstream::start(Then::Answer(OK));
        let (mut setup, node) = balancer(&[nobody()], &old, true);
        let out = old.call();
        if down {
            out.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
            until("it waits to call again", || node.has_logged("watch ended"));
        }
        setup.discovery = new.address();
        let start = Instant::now();
        node.reload(&setup.text());
        let call = new.call();
        assert!(call.at - start < Duration::from_secs(1), "{:?}", call.at - start);
        assert!(down || out.given_up_within(LONG), "nothing that is said there matters");
        // Slow, as one service for many may be.
        assert!(new.call_within(Duration::from_millis(1800)).is_none(), "a second call, down: {down}");
        call.answer(&only(2, &upstream));
        serves(&node, &upstream);
    };
    let all = [true, false].map(|down| std::thread::spawn(move || moves(down)));
    all.into_iter().for_each(|thread| thread.join().unwrap());
}

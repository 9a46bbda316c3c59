//! Peak memory of a balancer under crowds of clients and under faulty upstreams, at the limits that operators set,
//! while a known client beside them is served.

#[path = "../common/mod.rs"]
mod common;

mod crowd;
mod kept_answers;
mod known_client;
mod large_lists;
mod upstreams;

use common::{Node, Setup};
use crowd::Behavior;
use known_client::Outcomes;
use std::time::Duration;
use upstreams::Answers;

/// Limits on memory in MB and on descriptors.
const LIMITS: [(u64, usize); 2] = [(32, 1024), (48, 384)];
/// Share of the memory limit that the process may reach.
const MAX_PEAK_SHARE: f64 = 0.9;
/// Share of the known client's requests that must be served in time.
const MIN_SERVED_SHARE: f64 = 0.9;
const CROWD_TIME: Duration = Duration::from_secs(3);
const KNOWN: &str = "[admission]\nreserve = 0.25\nknown = ['127.0.0.3']\n";

/// Held by each test: the crowds would slow down one another's known client.
fn alone() -> std::sync::MutexGuard<'static, ()> {
    static ALONE: std::sync::Mutex<()> = std::sync::Mutex::new(());
    ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn setup(memory_mb: u64, sockets: usize, answers: Answers) -> Setup {
    let mut setup = Setup::with(&upstreams::start(24, answers));
    setup.control = true;
    setup.sockets = sockets;
    setup.memory_mb = memory_mb;
    setup.operator = KNOWN.into();
    setup
}

fn check(node: &Node, memory_mb: u64, served: &Outcomes) {
    let peak = node.peak_memory();
    println!("{memory_mb} MB: peak {peak} KiB, {served:?}");
    let allowed = (memory_mb * 1024) as f64 * MAX_PEAK_SHARE;
    assert!((peak as f64) < allowed, "{peak} KiB of {memory_mb} MB");
    assert_eq!(served.unanswered, 0, "{served:?}");
    assert!(served.in_time as f64 >= MIN_SERVED_SHARE * served.sent as f64, "{served:?}");
}

/// Sends crowds that behave like this, one for each pair of limits, beside a known client.
fn survives(behaviors: &[Behavior], clients: usize, answers: Answers) {
    let _alone = alone();
    for (memory_mb, sockets) in LIMITS {
        let mut node = setup(memory_mb, sockets, answers).start();
        let crowd = crowd::start(node.address, node.control.unwrap(), behaviors, clients, CROWD_TIME);
        let served = known_client::run(&node, CROWD_TIME);
        crowd.join().unwrap();
        println!("{behaviors:?} {answers:?} {sockets} descriptors");
        assert!(node.runs(), "the balancer has ended");
        check(&node, memory_mb, &served);
    }
}

#[test]
fn idle_clients_stay_within_the_memory_limit() {
    survives(&[Behavior::Idle], 700, Answers::SHORT);
}

#[test]
fn bodies_that_stop_short_stay_within_the_memory_limit() {
    survives(&[Behavior::BodyStopsShort], 700, Answers::SHORT);
}

#[test]
fn bodies_in_pieces_stay_within_the_memory_limit() {
    survives(&[Behavior::BodyInPieces], 700, Answers::SHORT);
}

#[test]
fn heads_of_many_fields_stay_within_the_memory_limit() {
    survives(&[Behavior::ManyFields, Behavior::TooManyFields, Behavior::UnendedHead], 700, Answers::SHORT);
}

#[test]
fn unread_answers_stay_within_the_memory_limit() {
    survives(&[Behavior::ReadsNothing], 700, Answers::LONG);
}

#[test]
fn pipelined_bodies_and_a_reset_stay_within_the_memory_limit() {
    survives(&[Behavior::PipelinesAndResets], 700, Answers::SHORT);
}

#[test]
fn long_requests_to_slow_upstreams_stay_within_the_memory_limit() {
    survives(&[Behavior::LongAndReadsNothing], 300, Answers::LONG_AND_LATE);
}

#[test]
fn long_requests_of_hundreds_of_clients_stay_within_the_memory_limit() {
    survives(&[Behavior::LongAndReadsNothing], 900, Answers::LONG_AND_LATE);
}

#[test]
fn all_behaviors_at_once_stay_within_the_memory_limit() {
    survives(&Behavior::ALL, 700, Answers::LONG);
}

#[test]
fn answers_without_end_stay_within_the_memory_limit() {
    survives(&[Behavior::Idle, Behavior::ReadsNothing], 500, Answers::UNENDED);
}

#[test]
fn endless_endpoint_lists_stay_within_the_memory_limit() {
    let _alone = alone();
    for (memory_mb, sockets) in LIMITS {
        let mut setup = setup(memory_mb, sockets, Answers::SHORT);
        setup.discovery = upstreams::start_endless_discovery();
        let node = setup.start();
        let served = known_client::run(&node, CROWD_TIME);
        check(&node, memory_mb, &served);
    }
}

#[test]
fn answers_with_long_heads_stay_within_the_memory_limit() {
    survives(&[Behavior::Idle, Behavior::ReadsNothing], 500, Answers::LONG_HEADS);
}

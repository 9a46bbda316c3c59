//! Answers that stop, from a balancer that is held up again and again: each request gets its final answer in time.

use crate::common::{Node, Setup};
use crate::exchange::{ANSWER_MARGIN, Exchange, Outcome};
use crate::{alone, upstreams};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 32;
const ROUNDS: u64 = 5;
/// How long the balancer is held up, and how often.
const HOLD_UP: Duration = Duration::from_millis(140);
const HOLD_UP_INTERVAL: Duration = Duration::from_millis(500);
/// Lateness of a hold-up's end on a busy machine, beyond which it has shown nothing.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);
const WAITS_MS: [u64; 6] = [100, 250, 400, 670, 1200, 2000];

/// Answers without a length that stop: short ones, which become a failure, and the beginnings of long ones, which
/// are passed on.
const SHORT_BYTES: [u64; 2] = [120, 800];
const LONG_BYTES: [u64; 2] = [2000, 20_000];

fn exchange(sizes: [u64; 2], client: u64, round: u64) -> Exchange {
    let number = client * ROUNDS + round;
    let form = ["chunked", "close"][number as usize / 2 % 2];
    let size = sizes[number as usize / 4 % sizes.len()];
    let is_safe = number.is_multiple_of(2);
    Exchange {
        id: format!("{client}-{round}"),
        is_safe,
        script: format!("form={form}&size={size}&work={}&end=never", number % 30),
        wait: Duration::from_millis(WAITS_MS[number as usize / 8 % WAITS_MS.len()] + number % 50),
        body_bytes: 4 * usize::from(!is_safe),
        is_chunked: false,
        write_rate: None,
    }
}

async fn play(sizes: [u64; 2], client: u64, balancer: SocketAddr) -> Vec<(Exchange, Outcome)> {
    let mut played = Vec::new();
    for round in 0..ROUNDS {
        let exchange = exchange(sizes, client, round);
        let outcome = exchange.play(balancer).await;
        played.push((exchange, outcome));
    }
    played
}

/// Holds the balancer up until `ended`, and returns the longest hold-up.
fn hold_up_until(node: &Node, ended: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !ended.load(Ordering::SeqCst) {
        let start = Instant::now();
        node.hold_up(HOLD_UP);
        longest = longest.max(start.elapsed());
        std::thread::sleep(HOLD_UP_INTERVAL.saturating_sub(start.elapsed()));
    }
    longest
}

/// Plays answers of these sizes, and fails if `is_late` says so of one.
fn assert_in_time(sizes: [u64; 2], is_late: impl Fn(&Exchange, &Outcome) -> bool) {
    let _alone = alone();
    let node = Setup::with(&upstreams::start(6)).start();
    let (ended, address) = (AtomicBool::new(false), node.address);
    let (played, longest_hold_up) = std::thread::scope(|scope| {
        let holder = scope.spawn(|| hold_up_until(&node, &ended));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let clients = (0..CLIENTS).map(|client| play(sizes, client, address));
        let played = runtime.block_on(futures_util::future::join_all(clients)).concat();
        ended.store(true, Ordering::SeqCst);
        (played, holder.join().unwrap())
    });
    if longest_hold_up > MAX_HOLD_UP {
        println!("shows nothing: the balancer was held up for {longest_hold_up:?}");
        return;
    }
    let lost: Vec<_> = played.iter().filter(|(_, outcome)| outcome.status.is_none()).collect();
    assert!(lost.is_empty(), "{} of {} got no byte, such as {:?}", lost.len(), played.len(), lost[0]);
    let late: Vec<_> = played.iter().filter(|(exchange, outcome)| is_late(exchange, outcome)).collect();
    assert!(late.is_empty(), "{} of {} late, such as {:?}", late.len(), played.len(), late[0]);
}

#[test]
fn a_short_answer_that_stops_is_answered_in_time_beside_hold_ups() {
    assert_in_time(SHORT_BYTES, |exchange, outcome| outcome.end > exchange.wait + ANSWER_MARGIN);
}

#[test]
fn a_longer_answer_that_stops_has_begun_in_time_beside_hold_ups() {
    assert_in_time(LONG_BYTES, |exchange, outcome| outcome.first_byte > exchange.wait + ANSWER_MARGIN);
}

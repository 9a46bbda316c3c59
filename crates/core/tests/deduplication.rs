//! Repeats of a request with an idempotency key: they go only to upstreams that share the key, and only while
//! these upstreams remember the key.

mod common;

use common::{Harness, class, endpoint, ms};
use maplehook_core::*;
use proptest::prelude::*;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time reserved for the transmission of a repeat, in addition to the connect timeout.
const TRANSMISSION_TIME: Duration = Duration::from_millis(50);

/// Returns six upstreams in two zones, and in three cells that span both zones.
fn fleet() -> Vec<Endpoint> {
    let zone_and_cell = |id: u64| (ZoneId((id % 2) as u8), CellId((id % 3) as u16));
    (1..=6)
        .map(|id| Endpoint { zone: zone_and_cell(id).0, cell: zone_and_cell(id).1, ..endpoint(id) })
        .collect()
}

fn new_harness(group: DedupGroup, ttl: Duration) -> Harness {
    let deduplicated = class(2000, 2000, Effect::Deduplicated { group, ttl });
    let settings = Settings {
        classes: vec![deduplicated],
        tenants: vec![Tenant { allowance_per_s: 1e4 }],
        connect_timeout: CONNECT_TIMEOUT,
        max_attempts: 6,
        can_hedge: false,
        can_cancel: false,
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, &fleet());
    harness.advance(ms(2000));
    harness
}

fn attempt_count(harness: &Harness, id: RequestId) -> usize {
    harness.attempts[&id].len()
}

/// A request that is repeated after its deduplication window may take effect twice. If the window is no
/// longer than the time to connect and transmit, no repeat is sent, even if the first attempt fails at once.
#[test]
fn no_repeat_if_the_window_is_too_short_to_connect_and_transmit() {
    for ttl in [Duration::ZERO, ms(1), CONNECT_TIMEOUT, CONNECT_TIMEOUT + TRANSMISSION_TIME] {
        let mut harness = new_harness(DedupGroup::All, ttl);
        let id = harness.send_request(0, 0, ms(2000));
        harness.end_attempt(id, 0, Outcome::Reset);
        assert_eq!(attempt_count(&harness, id), 1, "no repeat is sent with a window of {ttl:?}");
        assert_eq!(harness.results[&id], "failed");
    }
}

/// A repeat is sent only if connecting and transmitting it fit into the rest of the deduplication window.
#[test]
fn repeats_only_if_the_repeat_arrives_within_the_window() {
    let ttl = ms(600);
    for (after, is_repeated) in [
        (ms(1), true),
        (ttl - CONNECT_TIMEOUT - TRANSMISSION_TIME - ms(1), true),
        (ttl - CONNECT_TIMEOUT - TRANSMISSION_TIME, false),
    ] {
        let mut harness = new_harness(DedupGroup::All, ttl);
        let id = harness.send_request(0, 0, ms(2000));
        harness.advance(after);
        harness.end_attempt(id, 0, Outcome::Reset);
        assert_eq!(
            attempt_count(&harness, id) == 2,
            is_repeated,
            "whether a repeat follows a first attempt of {after:?}"
        );
    }
}

/// An attempt that never ran, such as a failed connection, must not start the window, and a later attempt
/// must not restart it.
#[test]
fn the_window_starts_with_the_earliest_attempt_that_may_have_run() {
    let ttl = ms(600);
    let mut harness = new_harness(DedupGroup::All, ttl);
    let id = harness.send_request(0, 0, ms(2000));
    harness.advance(ms(300));
    harness.end_attempt(id, 0, Outcome::ConnectFailed);
    harness.advance(ms(300));
    harness.end_attempt(id, 1, Outcome::Reset);
    assert_eq!(attempt_count(&harness, id), 3, "a repeat follows: the first attempt never ran");
    harness.advance(ms(200));
    harness.end_attempt(id, 2, Outcome::Reset);
    assert_eq!(
        attempt_count(&harness, id),
        3,
        "no repeat follows: the second attempt may have run 500 ms ago"
    );
    assert_eq!(harness.results[&id], "failed");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    /// Repeats obey the group and the window for random groups, windows and outcomes of attempts.
    #[test]
    fn repeats_stay_within_their_group_and_window(
        group in prop::sample::select(vec![DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell]),
        ttl in 0_u64..1500,
        attempt_ends in prop::collection::vec((0_u64..400, 0_usize..4), 1..6),
    ) {
        let ttl = ms(ttl);
        let mut harness = new_harness(group, ttl);
        let id = harness.send_request(0, 0, ms(2000));
        let mut may_have_run: Vec<(Duration, UpstreamId)> = Vec::new();
        for (k, (after, outcome)) in attempt_ends.into_iter().enumerate() {
            let Some((sent_at, upstream)) = harness.attempts[&id].get(k).copied() else { break };
            for (earlier_sent_at, earlier) in &may_have_run {
                prop_assert!(sent_at + CONNECT_TIMEOUT + TRANSMISSION_TIME < *earlier_sent_at + ttl);
                let (same_zone, same_cell) =
                    (earlier.0 % 2 == upstream.0 % 2, earlier.0 % 3 == upstream.0 % 3);
                let is_same_group = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => same_zone,
                    DedupGroup::Cell => same_cell,
                };
                prop_assert!(is_same_group, "{earlier:?} and {upstream:?} share no idempotency keys");
            }
            harness.advance(ms(after));
            if harness.results.contains_key(&id) {
                break;
            }
            let outcome =
                [Outcome::Reset, Outcome::Error, Outcome::ConnectFailed, Outcome::Rejected][outcome];
            if !outcome.never_ran() {
                may_have_run.push((sent_at, upstream));
            }
            harness.end_attempt(id, k, outcome);
        }
    }
}

//! Repeats of a request with an idempotency key stay within the group that remembers the key, and within the
//! time for which the group remembers it.

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

/// Returns the number of attempts of a request.
fn attempt_count(harness: &Harness, id: RequestId) -> usize {
    harness.attempts[&id].len()
}

/// A repeat that arrives after the deduplication window takes effect twice. A window no longer than the time
/// to connect and transmit allows no repeat, even if the first attempt fails at once.
#[test]
fn no_repeat_if_the_window_is_shorter_than_the_transmission() {
    for ttl in [Duration::ZERO, ms(1), CONNECT_TIMEOUT, CONNECT_TIMEOUT + TRANSMISSION_TIME] {
        let mut harness = new_harness(DedupGroup::All, ttl);
        let id = harness.send_request(0, 0, ms(2000));
        harness.end_attempt(id, 0, Outcome::Reset);
        assert_eq!(attempt_count(&harness, id), 1, "window of {ttl:?}");
        assert_eq!(harness.results[&id], "failed");
    }
}

/// At the end of the window, a repeat is sent only if its connection and transmission fit into the rest of
/// the window.
#[test]
fn repeats_only_if_the_transmission_fits_into_the_window() {
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
        assert_eq!(attempt_count(&harness, id) == 2, is_repeated, "the first attempt ended after {after:?}");
    }
}

/// The window starts with the earliest attempt that may have run: not with the latest, and not with one that
/// never ran.
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

    /// Checks the group and the window for random windows, groups and outcomes of attempts.
    #[test]
    fn repeats_stay_within_their_group_and_window(
        group in prop::sample::select(vec![DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell]),
        ttl in 0_u64..1500,
        endings in prop::collection::vec((0_u64..400, 0_usize..4), 1..6),
    ) {
        let ttl = ms(ttl);
        let mut harness = new_harness(group, ttl);
        let id = harness.send_request(0, 0, ms(2000));
        let mut may_have_run: Vec<(Duration, UpstreamId)> = Vec::new();
        for (k, (after, outcome)) in endings.into_iter().enumerate() {
            let Some((sent_at, upstream)) = harness.attempts[&id].get(k).copied() else { break };
            for (first_sent_at, first) in &may_have_run {
                prop_assert!(sent_at + CONNECT_TIMEOUT + TRANSMISSION_TIME < *first_sent_at + ttl);
                let (same_zone, same_cell) = (first.0 % 2 == upstream.0 % 2, first.0 % 3 == upstream.0 % 3);
                let is_same_group = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => same_zone,
                    DedupGroup::Cell => same_cell,
                };
                prop_assert!(is_same_group, "{first:?} and {upstream:?} do not share their keys");
            }
            harness.advance(ms(after));
            if harness.results.contains_key(&id) {
                break;
            }
            let outcome = [Outcome::Reset, Outcome::Error, Outcome::ConnectFailed, Outcome::Rejected][outcome];
            if !outcome.never_ran() {
                may_have_run.push((sent_at, upstream));
            }
            harness.end_attempt(id, k, outcome);
        }
    }
}

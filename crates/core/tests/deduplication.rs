//! Repeats of a key: inside the group that remembers it, and inside the time for which it is remembered.

mod common;

use common::{Bench, class, listed, ms};
use maplehook_core::*;
use proptest::prelude::*;
use std::time::Duration;

const CONNECT: Duration = Duration::from_millis(100);
/// For the way of a repeat, beside the connection that it may need.
const WAY: Duration = Duration::from_millis(50);

/// Six upstreams in two zones, and in three cells across them.
fn fleet() -> Vec<Endpoint> {
    let place = |id: u64| (ZoneId((id % 2) as u8), CellId((id % 3) as u16));
    (1..=6).map(|id| Endpoint { zone: place(id).0, cell: place(id).1, ..listed(id) }).collect()
}

fn bench(group: DedupGroup, ttl: Duration) -> Bench {
    let keyed = class(2000, 2000, Effect::Deduplicated { group, ttl });
    let settings = Settings {
        classes: vec![keyed],
        tenants: vec![Tenant { allowance_per_s: 1e4 }],
        connect_timeout: CONNECT,
        max_attempts: 6,
        can_hedge: false,
        can_cancel: false,
        ..Settings::default()
    };
    let mut bench = Bench::new(settings, &fleet());
    bench.run(ms(2000));
    bench
}

/// How many attempts a request has had.
fn attempts(bench: &Bench, id: RequestId) -> usize {
    bench.sent[&id].len()
}

/// Guards against a late second effect: a window too short for the way of a repeat has none, however soon the first comes to
/// nothing.
#[test]
fn a_window_shorter_than_the_way_has_no_repeat() {
    for ttl in [Duration::ZERO, ms(1), CONNECT, CONNECT + WAY] {
        let mut bench = bench(DedupGroup::All, ttl);
        let id = bench.request(0, 0, ms(2000));
        bench.ended(id, 0, Outcome::Reset);
        assert_eq!(attempts(&bench, id), 1, "{ttl:?}");
        assert_eq!(bench.answers[&id], "failed");
    }
}

/// Guards the same at the window's end: the way of the repeat lies inside.
#[test]
fn the_way_of_a_repeat_lies_inside_the_window() {
    let ttl = ms(600);
    for (after, repeats) in [(ms(1), true), (ttl - CONNECT - WAY - ms(1), true), (ttl - CONNECT - WAY, false)]
    {
        let mut bench = bench(DedupGroup::All, ttl);
        let id = bench.request(0, 0, ms(2000));
        bench.run(after);
        bench.ended(id, 0, Outcome::Reset);
        assert_eq!(attempts(&bench, id) == 2, repeats, "after {after:?}");
    }
}

/// Guards the clock of the window: it runs from the earliest attempt that may have run, not from the latest, and not from one
/// that never ran.
#[test]
fn the_window_runs_from_the_earliest_that_may_have_run() {
    let ttl = ms(600);
    let mut bench = bench(DedupGroup::All, ttl);
    let id = bench.request(0, 0, ms(2000));
    bench.run(ms(300));
    bench.ended(id, 0, Outcome::ConnectFailed);
    bench.run(ms(300));
    bench.ended(id, 1, Outcome::Reset);
    assert_eq!(attempts(&bench, id), 3, "the first never ran");
    bench.run(ms(200));
    bench.ended(id, 2, Outcome::Reset);
    assert_eq!(attempts(&bench, id), 3, "the second may have run 500 ms ago");
    assert_eq!(bench.answers[&id], "failed");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    /// Guards both at once under drawn windows, groups and ends of attempts.
    #[test]
    fn no_repeat_leaves_its_group_or_its_window(
        group in prop::sample::select(vec![DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell]),
        ttl in 0_u64..1500,
        ends in prop::collection::vec((0_u64..400, 0_usize..4), 1..6),
    ) {
        let ttl = ms(ttl);
        let mut bench = bench(group, ttl);
        let id = bench.request(0, 0, ms(2000));
        let mut may_have_run: Vec<(Duration, UpstreamId)> = Vec::new();
        for (k, (after, outcome)) in ends.into_iter().enumerate() {
            let Some((sent, upstream)) = bench.sent[&id].get(k).copied() else { break };
            for (at, first) in &may_have_run {
                prop_assert!(sent + CONNECT + WAY < *at + ttl);
                let (zone, cell) = (first.0 % 2 == upstream.0 % 2, first.0 % 3 == upstream.0 % 3);
                let same = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => zone,
                    DedupGroup::Cell => cell,
                };
                prop_assert!(same, "{first:?} and {upstream:?}");
            }
            bench.run(ms(after));
            if bench.answers.contains_key(&id) {
                break;
            }
            let outcome = [Outcome::Reset, Outcome::Error, Outcome::ConnectFailed, Outcome::Rejected][outcome];
            if !outcome.never_ran() {
                may_have_run.push((sent, upstream));
            }
            bench.ended(id, k, outcome);
        }
    }
}

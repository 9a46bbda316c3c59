//! What all balancers together send to an upstream that has just started: real `Balancer`s side by side in emulated
//! time, over drawn settings, traffic and starts. Each is told at its own time; some restart in that moment, knowing
//! nothing or by a hand-over. Counted is what those send that had been told.

mod common;
#[path = "common/scenario.rs"]
mod day;
#[path = "common/simulation.rs"]
mod fleet;

use common::{Bench, class, listed, ms};
use day::{Day, FIGURES, START};
use fleet::{Seen, play};
use maplehook_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Requests in the fair part of the cold upstreams from which on a day has to show that some get there.
const FAIR_LEAST: f64 = 10.0;
/// What of it has to get there on any day, and on all days of a size together: see the crate's page.
const SENT_ANY_DAY: f64 = 0.02;
const SENT_ALL_DAYS: f64 = 0.3;

/// The largest share of what pushes an upstream over that one got within a fall time, as long as it was cold.
fn largest_share(day: &Day, seen: &Seen) -> f64 {
    let warm = day.set.slow_start_window.as_secs_f64();
    let mut largest = 0.0f64;
    for (j, sent) in seen.told.iter().enumerate() {
        for (k, from) in sent.iter().enumerate().take_while(|(_, at)| **at - START < warm) {
            let age = from - START;
            let until = from + day.set.overload_window.as_secs_f64().min(warm - age);
            let count = sent[k..].iter().take_while(|at| **at < until).count() as f64;
            largest = largest.max(count / day.bound(j, age));
        }
    }
    largest
}

/// A fair part of the traffic for all upstreams that start cold, and what was sent to them.
fn warmed(day: &Day, seen: &Seen) -> (f64, f64) {
    let fair = (0..day.cold).map(|j| day.fair(j)).sum();
    (fair, seen.told.iter().map(Vec::len).sum::<usize>() as f64)
}

/// Days with so many balancers, by the numbers that they are drawn from.
fn none_is_pushed_over(balancers: usize, seeds: &[u64]) {
    let (mut largest, mut all_fair, mut all_sent, mut parts) = (0.0f64, 0.0, 0.0, 0);
    for seed in seeds {
        let day = Day::numbered(balancers, *seed);
        let seen = play(&day);
        let share = largest_share(&day, &seen);
        assert!(share <= 1.0, "day {seed}: {share:.2} of what pushes an upstream over: {day:?}");
        largest = largest.max(share);
        let (fair, sent) = warmed(&day, &seen);
        if fair >= FAIR_LEAST && day.hangs_for.is_none() {
            assert!(sent >= SENT_ANY_DAY * fair, "day {seed}: {sent} of {fair:.0} sent: {day:?}");
            (all_fair, all_sent) = (all_fair + fair, all_sent + sent);
            parts += usize::from(fair < (balancers * day.cold) as f64);
        }
    }
    println!("{balancers} balancers: {largest:.2} of the bound at the most, {:.2} sent", all_sent / all_fair);
    assert!(all_sent >= SENT_ALL_DAYS * all_fair, "{all_sent} of {all_fair:.0} sent over all days");
    assert!(balancers < 300 || parts > 0, "on no day was the part of one balancer under one request");
}

#[test]
fn none_is_pushed_over_by_one_balancer_or_three() {
    none_is_pushed_over(1, &[&[4, 17, 193, 316][..], &(500..512).collect::<Vec<_>>()].concat());
    none_is_pushed_over(3, &[&[4, 7, 17, 47, 193, 345][..], &(500..512).collect::<Vec<_>>()].concat());
}

#[test]
fn none_is_pushed_over_by_thirty_balancers() {
    none_is_pushed_over(30, &[&[4, 17, 51, 193, 345][..], &(500..506).collect::<Vec<_>>()].concat());
}

#[test]
fn none_is_pushed_over_by_three_hundred_balancers() {
    none_is_pushed_over(300, &[7, 18, 51, 56]);
}

/// All balancers restart in the moment of the start, and know it by their first list: full buckets, nothing learned.
#[test]
fn none_is_pushed_over_by_balancers_that_all_restart() {
    for (balancers, seeds) in [(3, 40..52), (30, 46..52), (300, 51..52)] {
        for seed in seeds {
            let mut day = Day::numbered(balancers, seed);
            (day.fresh, day.handed, day.dated) = (1.0, 0.0, true);
            let share = largest_share(&day, &play(&day));
            println!("{balancers} balancers, day {seed}: {share:.2} of the bound");
            assert!(share <= 1.0, "day {seed}: {share:.2} of what pushes an upstream over: {day:?}");
        }
    }
}

/// However long a balancer had no requests: of what it could have sent a cold upstream, one is left.
#[test]
fn turns_are_not_saved_up_for_one_burst() {
    for cold_from in [0.05, 0.3, 0.9] {
        let set = Settings {
            classes: vec![class(400, 1000, Effect::Idempotent)],
            tenants: vec![Tenant { allowance_per_s: 200.0 }],
            slow_start_window: ms(60_000),
            slow_start_min_share: cold_from,
            ..Settings::default()
        };
        let mut bench = Bench::new(set, &[listed(1), listed(2), listed(3)]);
        let new = Endpoint { started: Some(ms(0)), ..listed(9) };
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[new] });
        bench.run(ms(20_000));
        bench.traffic(100, ms(0), |_| Some(Outcome::Ok));
        let sent = bench.attempts_at(UpstreamId(9));
        assert_eq!(sent, 1, "sent at once to one that starts at {cold_from}");
    }
}

/// Any number of balancers on any day: the same days in each run.
#[test]
fn none_is_pushed_over_on_any_day() {
    let chance = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 18, failure_persistence: None, max_shrink_iters: 60, ..Config::default() };
    let days = (0.0..1.0f64, any::<u64>(), prop::collection::vec(0.0..1.0f64, FIGURES));
    let result = TestRunner::new_with_rng(config, chance).run(&days, |(balancers, seed, figures)| {
        let figures: [f64; FIGURES] = figures.try_into().expect("as many figures");
        let day = Day::drawn(300f64.powf(balancers) as usize, seed, &figures);
        let seen = play(&day);
        let (share, (fair, sent)) = (largest_share(&day, &seen), warmed(&day, &seen));
        prop_assert!(share <= 1.0, "{share:.2} of what pushes an upstream over: {day:?}");
        let shows = fair >= FAIR_LEAST && day.hangs_for.is_none();
        prop_assert!(!shows || sent >= SENT_ANY_DAY * fair, "{sent} of {fair:.0} sent: {day:?}");
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

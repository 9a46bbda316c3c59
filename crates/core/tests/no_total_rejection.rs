//! A balancer does not turn away all that it gets for four seconds on end, with no attempt in between: not after a
//! start, and not after a time in which no upstream served anything. Real `Balancer`s in emulated time, over drawn
//! settings.

mod common;
#[path = "common/scenario.rs"]
mod day;
#[path = "common/simulation.rs"]
mod fleet;

use day::{Day, Outage, START};
use fleet::play;
use maplehook_core::Outcome;

/// Share of the balancers that may: the operators allow one in ten.
const DARK_MOST: f64 = 0.1;

fn few_are_dark(day: &Day) {
    let seen = play(day);
    let most = (DARK_MOST * day.balancers as f64) as usize;
    assert!(seen.unsent <= most, "day {}: {} times nothing was sent: {day:?}", day.seed, seen.unsent);
    let served = day.outage.lasts == 0.0 || seen.unserved <= most;
    assert!(served, "day {}: {} times nothing was served: {day:?}", day.seed, seen.unserved);
}

/// All balancers start in the moment in which upstreams do, and know them by their first list.
fn few_are_dark_after_a_start(balancers: usize, seed: u64) {
    let mut day = Day::numbered(balancers, seed);
    (day.fresh, day.handed, day.dated) = (1.0, 0.0, true);
    few_are_dark(&day);
}

/// For some seconds every attempt ends as told; timed out: it hangs up to its deadline.
fn few_are_dark_after_an_outage(balancers: usize, seed: u64, outcome: Outcome) {
    let mut day = Day::numbered(balancers, seed);
    let lasts = [0.5, 1.5, 3.0, 5.0][seed as usize % 4];
    (day.cold, day.hangs_for, day.fresh, day.handed) = (1, None, 0.0, 0.0);
    day.outage = Outage { from: START + 0.5, lasts, outcome };
    day.length = day.outage.until() + 8.0;
    few_are_dark(&day);
}

/// Day 368 and day 43 state no allowances, and on them some know cold upstreams alone.
#[test]
fn all_serve_after_a_start_among_cold_upstreams() {
    (0..12).for_each(|seed| few_are_dark_after_a_start(3, seed));
    [368].into_iter().chain(0..4).for_each(|seed| few_are_dark_after_a_start(30, seed));
    few_are_dark_after_a_start(300, 43);
}

#[test]
fn all_serve_after_all_upstreams_were_ejected() {
    for (seed, outcome) in (0..).step_by(8).zip([Outcome::ConnectFailed, Outcome::Reset, Outcome::Rejected]) {
        (seed..seed + 6).for_each(|seed| few_are_dark_after_an_outage(3, seed, outcome));
        (seed..seed + 2).for_each(|seed| few_are_dark_after_an_outage(30, seed, outcome));
    }
}

#[test]
fn all_serve_after_all_attempts_were_overdue() {
    (0..8).for_each(|seed| few_are_dark_after_an_outage(3, seed, Outcome::TimedOut));
    (2..5).for_each(|seed| few_are_dark_after_an_outage(30, seed, Outcome::TimedOut));
}

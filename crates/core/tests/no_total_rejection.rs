//! A balancer stalls if it sends no attempt, or serves no request, for four seconds. At most one balancer in
//! ten may stall after a start, or after an outage of all upstreams. The tests run `Balancer`s in emulated
//! time with random settings.

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/simulation.rs"]
mod simulation;

use maplehook_core::Outcome;
use scenario::{Outage, START_TIME_S, Scenario};
use simulation::simulate;

/// Highest ratio of stalls to balancers: operators accept one stalled balancer in ten.
const MAX_STALLS_PER_BALANCER: f64 = 0.1;

fn assert_stalls_within_limit(scenario: &Scenario) {
    let measurements = simulate(scenario);
    let max_stalls = (MAX_STALLS_PER_BALANCER * scenario.balancers as f64) as usize;
    assert!(
        measurements.attempt_stalls <= max_stalls,
        "seed {}: balancers stalled {} times without an attempt: {scenario:?}",
        scenario.seed,
        measurements.attempt_stalls
    );
    let are_service_stalls_within_limit =
        scenario.outage.duration_s == 0.0 || measurements.service_stalls <= max_stalls;
    assert!(
        are_service_stalls_within_limit,
        "seed {}: balancers stalled {} times without a served request: {scenario:?}",
        scenario.seed, measurements.service_stalls
    );
}

/// Checks stalls after all balancers restart together with the starting upstreams. The first endpoint list of
/// each balancer contains these upstreams.
fn assert_stalls_within_limit_after_start(balancers: usize, seed: u64) {
    let mut scenario = Scenario::from_seed(balancers, seed);
    (scenario.restart_share, scenario.handover_share, scenario.has_start_times) = (1.0, 0.0, true);
    assert_stalls_within_limit(&scenario);
}

/// Checks stalls after an outage in which every attempt ends with `outcome`. Attempts that time out last
/// until their deadline.
fn assert_stalls_within_limit_after_outage(balancers: usize, seed: u64, outcome: Outcome) {
    let mut scenario = Scenario::from_seed(balancers, seed);
    let duration_s = [0.5, 1.5, 3.0, 5.0][seed as usize % 4];
    (scenario.starting_count, scenario.unanswered_class, scenario.restart_share, scenario.handover_share) =
        (1, None, 0.0, 0.0);
    scenario.outage = Outage { start_s: START_TIME_S + 0.5, duration_s, outcome };
    scenario.duration_s = scenario.outage.end_s() + 8.0;
    assert_stalls_within_limit(&scenario);
}

/// Seeds 368 and 43 give scenarios without tenant allowances in which some balancers know only upstreams in
/// slow start.
#[test]
fn at_most_one_balancer_in_ten_stalls_after_all_balancers_restart() {
    (0..12).for_each(|seed| assert_stalls_within_limit_after_start(3, seed));
    [368].into_iter().chain(0..4).for_each(|seed| assert_stalls_within_limit_after_start(30, seed));
    assert_stalls_within_limit_after_start(300, 43);
}

#[test]
fn at_most_one_balancer_in_ten_stalls_after_all_upstreams_were_ejected() {
    for (seed, outcome) in (0..).step_by(8).zip([Outcome::ConnectFailed, Outcome::Reset, Outcome::Rejected]) {
        (seed..seed + 6).for_each(|seed| assert_stalls_within_limit_after_outage(3, seed, outcome));
        (seed..seed + 2).for_each(|seed| assert_stalls_within_limit_after_outage(30, seed, outcome));
    }
}

#[test]
fn at_most_one_balancer_in_ten_stalls_after_all_attempts_timed_out() {
    (0..8).for_each(|seed| assert_stalls_within_limit_after_outage(3, seed, Outcome::TimedOut));
    (2..5).for_each(|seed| assert_stalls_within_limit_after_outage(30, seed, Outcome::TimedOut));
}

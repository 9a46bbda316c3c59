//! A balancer must not reject all of its requests for four seconds without a single attempt, neither after a
//! start nor after an outage of all upstreams. Real `Balancer`s run in emulated time with random settings.

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/simulation.rs"]
mod simulation;

use maplehook_core::Outcome;
use scenario::{Outage, START_TIME_S, Scenario};
use simulation::simulate;

/// Share of the balancers that may stall: operators accept one in ten.
const MAX_STALLED_SHARE: f64 = 0.1;

fn assert_few_balancers_stall(scenario: &Scenario) {
    let measurements = simulate(scenario);
    let max_stalls = (MAX_STALLED_SHARE * scenario.balancers as f64) as usize;
    assert!(
        measurements.attempt_stalls <= max_stalls,
        "seed {}: balancers stalled {} times without an attempt: {scenario:?}",
        scenario.seed,
        measurements.attempt_stalls
    );
    let has_few_service_stalls =
        scenario.outage.duration_s == 0.0 || measurements.service_stalls <= max_stalls;
    assert!(
        has_few_service_stalls,
        "seed {}: balancers stalled {} times without a served request: {scenario:?}",
        scenario.seed, measurements.service_stalls
    );
}

/// All balancers start together with the upstreams and see the starting upstreams in their first list.
fn assert_few_balancers_stall_after_a_start(balancers: usize, seed: u64) {
    let mut scenario = Scenario::from_seed(balancers, seed);
    (scenario.restart_share, scenario.handover_share, scenario.has_start_times) = (1.0, 0.0, true);
    assert_few_balancers_stall(&scenario);
}

/// For some seconds every attempt ends with `outcome`; attempts that time out last until their deadline.
fn assert_few_balancers_stall_after_an_outage(balancers: usize, seed: u64, outcome: Outcome) {
    let mut scenario = Scenario::from_seed(balancers, seed);
    let duration_s = [0.5, 1.5, 3.0, 5.0][seed as usize % 4];
    (scenario.starting_count, scenario.unanswered_class, scenario.restart_share, scenario.handover_share) =
        (1, None, 0.0, 0.0);
    scenario.outage = Outage { start_s: START_TIME_S + 0.5, duration_s, outcome };
    scenario.duration_s = scenario.outage.end_s() + 8.0;
    assert_few_balancers_stall(&scenario);
}

/// Scenarios 368 and 43 have no stated allowances, and some of their balancers know only upstreams in slow
/// start.
#[test]
fn few_balancers_stall_after_a_start_with_upstreams_in_slow_start() {
    (0..12).for_each(|seed| assert_few_balancers_stall_after_a_start(3, seed));
    [368].into_iter().chain(0..4).for_each(|seed| assert_few_balancers_stall_after_a_start(30, seed));
    assert_few_balancers_stall_after_a_start(300, 43);
}

#[test]
fn few_balancers_stall_after_all_upstreams_were_ejected() {
    for (seed, outcome) in (0..).step_by(8).zip([Outcome::ConnectFailed, Outcome::Reset, Outcome::Rejected]) {
        (seed..seed + 6).for_each(|seed| assert_few_balancers_stall_after_an_outage(3, seed, outcome));
        (seed..seed + 2).for_each(|seed| assert_few_balancers_stall_after_an_outage(30, seed, outcome));
    }
}

#[test]
fn few_balancers_stall_after_all_attempts_timed_out() {
    (0..8).for_each(|seed| assert_few_balancers_stall_after_an_outage(3, seed, Outcome::TimedOut));
    (2..5).for_each(|seed| assert_few_balancers_stall_after_an_outage(30, seed, Outcome::TimedOut));
}

//! All balancers together must not overload upstreams that have just started. The tests run many `Balancer`s
//! in emulated time with random settings and traffic. Balancers are notified of the start of upstreams at
//! different times, and some balancers restart together with the upstreams, with or without learned state.
//! The tests count only attempts of notified balancers.

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/simulation.rs"]
mod simulation;

use common::{Harness, class, endpoint, ms};
use maplehook_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use scenario::{PARAMETER_COUNT, START_TIME_S, Scenario};
use simulation::{Measurements, simulate};

/// Lowest fair request count for which a scenario must send requests to the starting upstreams.
const MIN_FAIR_REQUESTS: f64 = 10.0;
/// Lowest ratio of sent requests to the fair request count in one scenario. The crate documentation explains
/// how many requests upstreams in slow start receive.
const MIN_SENT_RATIO: f64 = 0.02;
/// Lowest ratio of sent requests to the fair request count, summed over scenarios with equally many
/// balancers.
const MIN_TOTAL_SENT_RATIO: f64 = 0.3;

/// Returns the highest ratio of attempts in an overload window to the overload bound, over all starting
/// upstreams and all windows within slow start.
fn max_overload_ratio(scenario: &Scenario, measurements: &Measurements) -> f64 {
    let slow_start_s = scenario.settings.slow_start_window.as_secs_f64();
    let mut max_ratio = 0.0f64;
    for (j, sent) in measurements.notified_attempts.iter().enumerate() {
        for (k, window_start) in
            sent.iter().enumerate().take_while(|(_, at)| **at - START_TIME_S < slow_start_s)
        {
            let age_s = window_start - START_TIME_S;
            let window_end =
                window_start + scenario.settings.overload_window.as_secs_f64().min(slow_start_s - age_s);
            let count = sent[k..].iter().take_while(|at| **at < window_end).count() as f64;
            max_ratio = max_ratio.max(count / scenario.overload_bound(j, age_s));
        }
    }
    max_ratio
}

/// Returns the fair request count of all starting upstreams together, and the number of attempts at them.
fn fair_and_sent_requests(scenario: &Scenario, measurements: &Measurements) -> (f64, f64) {
    let fair = (0..scenario.starting_count).map(|j| scenario.fair_request_count(j)).sum();
    (fair, measurements.notified_attempts.iter().map(Vec::len).sum::<usize>() as f64)
}

/// Simulates one scenario per seed. Checks that no starting upstream exceeds its overload bound, and that
/// starting upstreams receive enough requests.
fn assert_no_upstream_is_overloaded(balancers: usize, seeds: &[u64]) {
    let (mut max_ratio, mut total_fair, mut total_sent, mut scenarios_below_one_request) =
        (0.0f64, 0.0, 0.0, 0);
    for seed in seeds {
        let scenario = Scenario::from_seed(balancers, *seed);
        let measurements = simulate(&scenario);
        let ratio = max_overload_ratio(&scenario, &measurements);
        assert!(
            ratio <= 1.0,
            "seed {seed}: an upstream received {ratio:.2} times its overload bound: {scenario:?}"
        );
        max_ratio = max_ratio.max(ratio);
        let (fair, sent) = fair_and_sent_requests(&scenario, &measurements);
        if fair >= MIN_FAIR_REQUESTS && scenario.unanswered_class.is_none() {
            assert!(
                sent >= MIN_SENT_RATIO * fair,
                "seed {seed}: {sent} requests to starting upstreams, {fair:.0} would be fair: {scenario:?}"
            );
            (total_fair, total_sent) = (total_fair + fair, total_sent + sent);
            scenarios_below_one_request += usize::from(fair < (balancers * scenario.starting_count) as f64);
        }
    }
    println!(
        "{balancers} balancers: at most {max_ratio:.2} of the overload bound, {:.2} of the fair count",
        total_sent / total_fair
    );
    assert!(
        total_sent >= MIN_TOTAL_SENT_RATIO * total_fair,
        "{total_sent} requests sent over all scenarios, {total_fair:.0} would be fair"
    );
    assert!(
        balancers < 300 || scenarios_below_one_request > 0,
        "some scenario has a fair request count below one per balancer and starting upstream"
    );
}

#[test]
fn one_or_three_balancers_overload_no_upstream() {
    assert_no_upstream_is_overloaded(1, &[&[4, 17, 193, 316][..], &(500..512).collect::<Vec<_>>()].concat());
    assert_no_upstream_is_overloaded(
        3,
        &[&[4, 7, 17, 47, 193, 345][..], &(500..512).collect::<Vec<_>>()].concat(),
    );
}

#[test]
fn thirty_balancers_overload_no_upstream() {
    assert_no_upstream_is_overloaded(
        30,
        &[&[4, 17, 51, 193, 345][..], &(500..506).collect::<Vec<_>>()].concat(),
    );
}

#[test]
fn three_hundred_balancers_overload_no_upstream() {
    assert_no_upstream_is_overloaded(300, &[7, 18, 51, 56]);
}

/// All balancers restart together with the starting upstreams, with full token buckets and without learned
/// state. Their first endpoint list contains the starting upstreams.
#[test]
fn balancers_that_restart_together_overload_no_upstream() {
    for (balancers, seeds) in [(3, 40..52), (30, 46..52), (300, 51..52)] {
        for seed in seeds {
            let mut scenario = Scenario::from_seed(balancers, seed);
            (scenario.restart_share, scenario.handover_share, scenario.has_start_times) = (1.0, 0.0, true);
            let ratio = max_overload_ratio(&scenario, &simulate(&scenario));
            println!("{balancers} balancers, seed {seed}: {ratio:.2} of the overload bound");
            assert!(
                ratio <= 1.0,
                "seed {seed}: an upstream received {ratio:.2} times its overload bound: {scenario:?}"
            );
        }
    }
}

/// An idle balancer must not accumulate slots: however long it was idle, it may send only one request at once
/// to an upstream in slow start.
#[test]
fn an_idle_balancer_accumulates_no_slots_for_an_upstream_in_slow_start() {
    for min_share in [0.05, 0.3, 0.9] {
        let settings = Settings {
            classes: vec![class(400, 1000, Effect::Idempotent)],
            tenants: vec![Tenant { allowance_per_s: 200.0 }],
            slow_start_window: ms(60_000),
            slow_start_min_share: min_share,
            ..Settings::default()
        };
        let mut harness = Harness::new(settings, &[endpoint(1), endpoint(2), endpoint(3)]);
        let started_endpoint = Endpoint { started: Some(ms(0)), ..endpoint(9) };
        harness.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[started_endpoint] });
        harness.advance(ms(20_000));
        harness.run_traffic(100, ms(0), |_| Some(Outcome::Ok));
        let sent = harness.attempts_to(UpstreamId(9));
        assert_eq!(
            sent, 1,
            "requests sent at once to an upstream that starts with {min_share} of its capacity"
        );
    }
}

/// Tests random scenarios with 1 to 300 balancers. The generator is seeded, so each run tests the same
/// scenarios.
#[test]
fn random_scenarios_overload_no_upstream() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 18, failure_persistence: None, max_shrink_iters: 60, ..Config::default() };
    let scenarios = (0.0..1.0f64, any::<u64>(), prop::collection::vec(0.0..1.0f64, PARAMETER_COUNT));
    let result = TestRunner::new_with_rng(config, rng).run(&scenarios, |(exponent, seed, parameters)| {
        let parameters: [f64; PARAMETER_COUNT] =
            parameters.try_into().expect("the strategy generates one value for each parameter");
        let scenario = Scenario::from_parameters(300f64.powf(exponent) as usize, seed, &parameters);
        let measurements = simulate(&scenario);
        let (ratio, (fair, sent)) =
            (max_overload_ratio(&scenario, &measurements), fair_and_sent_requests(&scenario, &measurements));
        prop_assert!(ratio <= 1.0, "an upstream received {ratio:.2} times its overload bound: {scenario:?}");
        let is_checked = fair >= MIN_FAIR_REQUESTS && scenario.unanswered_class.is_none();
        prop_assert!(
            !is_checked || sent >= MIN_SENT_RATIO * fair,
            "{sent} requests sent to starting upstreams, {fair:.0} would be fair: {scenario:?}"
        );
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

//! Implausible reports, and the state that a new leader takes from reports and from the last document.

use crate::simulation::{Simulation, topology};
use maplehook_failover::capacity::{aggregate_demand, partition_reports};
use maplehook_failover::{Bounds, Decider, Document, Report, ZoneState};
use maplehook_locality::{Rules, Zone};
use std::time::Duration;

/// Replaces the values in reports of zone d by random numbers, once ten seconds have passed.
fn randomize_zone_d(now: Duration, zone: usize, _: usize, mut report: Report) -> Option<Report> {
    if zone == 3 && now > Duration::from_secs(10) {
        let mut rng = fastrand::Rng::with_seed(now.as_millis() as u64);
        let mut random = || rng.f32() * 1e6;
        for observation in &mut report.observations {
            (observation.listed, observation.usable, observation.sent) = (random(), random(), random());
            (observation.ok, observation.unreached, observation.load) = (random(), random(), random());
        }
        report.demand.iter_mut().for_each(|demand| demand.asked = random());
    }
    Some(report)
}

#[test]
fn one_implausible_balancer_of_four_moves_no_traffic() {
    for states_capacity in [true, false] {
        let mut sim = Simulation::new();
        (sim.balancers_per_zone, sim.alter_report, sim.states_capacity) =
            (1, randomize_zone_d, states_capacity);
        sim.set_members(0);
        sim.run(20.0);
        assert!(sim.document.plan.rows.is_empty(), "expected no traffic to move: {:?}", sim.document.plan);
        assert!(sim.document.zone_statuses.iter().all(|status| status.state == ZoneState::Serving));
        sim.zones[0].usable_share = 0.0;
        sim.run(4.0);
        sim.reset_counters();
        sim.run(20.0);
        assert!(sim.zone_state(0) == ZoneState::Unreachable && sim.zone_state(3) == ZoneState::Serving);
        // Zone d still has clients, and the plan includes their demand.
        assert!(
            sim.served() > 0.99 && sim.max_load <= 1.01,
            "served {}, load {}",
            sim.served(),
            sim.max_load
        );
    }
}

#[test]
fn implausible_balancer_counts_with_the_median_demand() {
    let mut sim = Simulation::new();
    sim.balancers_per_zone = 1;
    sim.run(3.0);
    let reports: Vec<Report> = (0..4)
        .filter_map(|zone| randomize_zone_d(Duration::from_secs(11), zone, 0, sim.report(zone)))
        .collect();
    let (plausible, implausible) = partition_reports(4, &reports.iter().collect::<Vec<_>>());
    assert_eq!((plausible.len(), implausible.len(), implausible[0].zone), (3, 1, Zone(3)));
    let demand = aggregate_demand(&plausible, &implausible, 4000.0);
    assert!((demand[&(0, Zone(3))] - 470.0).abs() < 0.1, "expected a demand of 470 in zone d: {demand:?}");
}

/// Divides the capacities in a report by 20.
fn understate_capacities(_: Duration, _: usize, _: usize, mut report: Report) -> Option<Report> {
    for observation in &mut report.observations {
        (observation.listed, observation.usable) = (observation.listed / 20.0, observation.usable / 20.0);
    }
    Some(report)
}

#[test]
fn understated_capacities_do_not_hide_an_outage() {
    let mut sim = Simulation::new();
    (sim.balancers_per_zone, sim.alter_report) = (1, understate_capacities);
    sim.set_members(0);
    sim.run(10.0);
    assert!(
        sim.document.zone_statuses.iter().all(|status| status.usable > 0.0),
        "expected usable capacity in every zone: {:?}",
        sim.document.zone_statuses
    );
    sim.zones[0].usable_share = 0.0;
    sim.run(4.0);
    assert_eq!(sim.zone_state(0), ZoneState::Unreachable);
}

/// Returns the number of ticks after which a new leader declares zone a unreachable. `out_ms` gives, for each
/// zone, how long its balancers have already been unable to reach zone a.
fn ticks_until_unreachable(out_ms: [u16; 4]) -> usize {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let last_document = sim.document.clone();
    let mut new_leader =
        Decider::new(topology(), Rules::near_first(1, 1), Bounds::default(), Some(&last_document), sim.now);
    sim.zones[0].usable_share = 0.0;
    let mut now = sim.now;
    for tick in 1..20 {
        now += Duration::from_millis(250);
        for (zone, out_ms) in out_ms.into_iter().enumerate() {
            for n in 0..3 {
                let mut report = sim.report(zone);
                report.number = 1000 + tick as u64;
                report.observations[0].probes = 3.0;
                report.observations[0].failed_probes = 3.0;
                report.out_ms = vec![(Zone(0), out_ms)];
                let decoded = Report::decode(&report.encode()).unwrap();
                assert!(new_leader.record_report(now, &format!("{zone}-{n}"), decoded));
            }
        }
        let is_unreachable = |document: &Document| document.zone_statuses[0].state == ZoneState::Unreachable;
        if new_leader.tick(now).as_ref().is_some_and(is_unreachable) {
            return tick;
        }
    }
    20
}

#[test]
fn new_leader_counts_the_outage_that_two_zones_already_observed() {
    assert_eq!(ticks_until_unreachable([5000, 5000, 5000, 5000]), 1);
    assert_eq!(ticks_until_unreachable([0, 0, 1250, 2000]), 1);
    let without_history = ticks_until_unreachable([0; 4]);
    assert!(
        without_history > 4,
        "expected more than 4 ticks without earlier observations, got {without_history}"
    );
    // A long outage that only one zone observed does not shorten the wait.
    assert_eq!(ticks_until_unreachable([0, 60_000, 0, 0]), without_history);
    assert!((2..without_history).contains(&ticks_until_unreachable([0, 700, 0, 700])));
}

#[test]
fn new_balancers_share_the_spare_capacity_and_a_new_leader_still_counts_them() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let spare_rate = |document: &Document| document.plan.spare_rate(4, Zone(0), 1, 12);
    let rate_before = spare_rate(&sim.document);
    assert!(rate_before > 0.0);
    sim.balancers_per_zone = 4;
    sim.set_members(0);
    sim.run(1.0);
    assert!(
        (spare_rate(&sim.document) / rate_before - 0.75).abs() < 0.01,
        "spare rate per balancer: {rate_before} with three balancers per zone, {} with four",
        spare_rate(&sim.document)
    );
    // At first, the new leader receives reports from only one balancer per zone.
    let (last_document, now) = (sim.document.clone(), sim.now);
    let mut new_leader =
        Decider::new(topology(), Rules::near_first(1, 1), Bounds::default(), Some(&last_document), now);
    let mut now = now;
    for tick in 1..30 {
        now += Duration::from_millis(250);
        for zone in 0..4 {
            let report = Report { number: 1000 + tick, ..sim.report(zone) };
            assert!(new_leader.record_report(now, &format!("{zone}-0"), report));
        }
        if let Some(document) = new_leader.tick(now) {
            new_leader.accepted(&document);
        }
    }
    assert_eq!(new_leader.document().plan.spare_section(2, 4), [4.0; 4]);
}

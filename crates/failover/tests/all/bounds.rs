//! Bounds on moved traffic, and outages that are too short or too widespread to move traffic.

use crate::simulation::Simulation;
use maplehook_failover::{Bounds, ZoneState};
use maplehook_locality::Rules;

#[test]
fn failure_of_all_zones_moves_no_traffic_and_is_reported() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].capacity = 500.0;
    sim.run(10.0);
    let rows = sim.document.plan.rows.clone();
    assert!(!rows.is_empty());
    sim.zones.iter_mut().for_each(|zone| zone.failing_share = 0.6);
    sim.run(30.0);
    assert_eq!(sim.document.plan.rows, rows);
    let shared_cause = sim.document.shared_cause.clone().unwrap();
    assert!(shared_cause.contains("4 of 4 zones"), "unexpected shared cause: {shared_cause}");
    assert!((0..4).all(|zone| sim.document.zone_statuses[zone].admitted_share == 1.0));
    sim.zones.iter_mut().for_each(|zone| zone.failing_share = 0.0);
    sim.run(10.0);
    assert_eq!((sim.document.shared_cause.as_ref(), &sim.document.plan.rows), (None, &rows));
}

#[test]
fn simultaneous_removal_of_all_upstreams_moves_no_traffic() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].capacity = 500.0;
    sim.run(10.0);
    let rows = sim.document.plan.rows.clone();
    // A settings version that lists no upstreams takes effect and is later reverted.
    let capacities: Vec<f64> = sim.zones.iter().map(|zone| zone.capacity).collect();
    sim.zones.iter_mut().for_each(|zone| zone.capacity = 0.0);
    sim.run(10.0);
    assert!(sim.document.shared_cause.is_some());
    assert_eq!(sim.document.plan.rows, rows);
    let order = maplehook_failover::Order::Evacuate {
        zones: vec![maplehook_locality::Zone(0)],
        by: "ann".into(),
        for_ms: None,
        anyway: true,
    };
    let rejected = sim.decider.order(sim.now, order).unwrap_err();
    assert!(rejected.to_string().contains("nothing moves"), "unexpected rejection: {rejected}");
    sim.zones.iter_mut().zip(capacities).for_each(|(zone, capacity)| zone.capacity = capacity);
    sim.run(5.0);
    assert_eq!((sim.document.shared_cause.as_ref(), &sim.document.plan.rows), (None, &rows));
}

#[test]
fn one_zone_alone_cannot_declare_other_zones_unreachable() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.alter_report = |_, zone, _, mut report| {
        for observation in
            report.observations.iter_mut().filter(|observation| zone == 1 && observation.zone.0 != 1)
        {
            (observation.usable, observation.unreached) = (0.0, observation.sent);
        }
        Some(report)
    };
    sim.reset_counters();
    sim.run(15.0);
    assert_eq!(
        sim.zone_state(1),
        ZoneState::Partitioned,
        "the zone that sees failures everywhere must itself be partitioned"
    );
    assert!(
        [0, 2, 3].into_iter().all(|zone| sim.zone_state(zone) == ZoneState::Serving),
        "the other zones must stay in service: {:?}",
        sim.document.zone_statuses
    );
    assert!((0..4).all(|zone| sim.share(zone, zone) == 1.0) && sim.served() > 0.999);
}

#[test]
fn failure_that_only_the_zones_own_balancers_observe_moves_its_traffic() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    // Balancers of other zones send nothing to zone a and do not observe the failure.
    sim.alter_report = |_, zone, _, mut report| {
        for observation in
            report.observations.iter_mut().filter(|observation| zone != 0 && observation.zone.0 == 0)
        {
            observation.usable = observation.listed;
        }
        Some(report)
    };
    sim.run(5.0);
    assert_eq!(
        (sim.zone_state(0), sim.share(0, 0)),
        (ZoneState::Unhealthy, 0.0),
        "zone a must be unhealthy and receive no requests: {:?}",
        sim.document.zone_statuses[0]
    );
    sim.reset_counters();
    sim.run(5.0);
    assert!(sim.served() > 0.999);
}

#[test]
fn traffic_moves_no_faster_than_the_limit_per_second() {
    let bounds = Bounds { max_moved_per_s: 0.05, ..Bounds::default() };
    let mut sim = Simulation::with_config(crate::simulation::topology(), Rules::near_first(1, 1), bounds);
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    let start = sim.now;
    let mut previous_share = 1.0;
    for _ in 0..40 {
        sim.step();
        let moved = 0.25 * (1.0 - sim.share(0, 0));
        let elapsed_s = (sim.now - start).as_secs_f64();
        assert!(
            moved <= 0.05 * (elapsed_s + 1.0) + 1e-3,
            "share {moved} of the traffic moved after {elapsed_s} s"
        );
        assert!(sim.share(0, 0) <= previous_share);
        previous_share = sim.share(0, 0);
    }
    assert_eq!(previous_share, 0.0, "all traffic of zone a must move in the end");
}

#[test]
fn outages_shorter_than_a_second_move_no_traffic() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.reset_counters();
    for _ in 0..5 {
        sim.zones[0].usable_share = 0.0;
        sim.run(0.75);
        sim.zones[0].usable_share = 1.0;
        sim.run(9.0);
    }
    assert!(
        sim.agreed_documents
            .iter()
            .all(|(_, d)| d.plan.rows.is_empty() && d.zone_statuses[0].admitted_share == 1.0)
    );
}

#[test]
fn minimum_number_of_zones_stays_in_service_during_outages() {
    let bounds = Bounds {
        max_capacity_removed: 1.0,
        shared_cause_share: 1.0,
        min_zones_in_service: 2,
        ..Bounds::default()
    };
    let mut sim = Simulation::with_config(crate::simulation::topology(), Rules::near_first(1, 1), bounds);
    sim.run(10.0);
    for zone in 0..3 {
        sim.zones[zone].usable_share = 0.0;
        sim.run(5.0);
    }
    let admitted_shares: Vec<f32> =
        sim.document.zone_statuses.iter().map(|status| status.admitted_share).collect();
    assert_eq!(
        admitted_shares,
        [0.0, 0.0, 1.0, 1.0],
        "two zones must stay in service: {:?}",
        sim.document.zone_statuses
    );
    assert_eq!(sim.zone_state(2), ZoneState::Unreachable, "the state must be reported");
    assert!(
        sim.document.zone_statuses[2].reason.contains("2 zones have to stay"),
        "unexpected reason: {}",
        sim.document.zone_statuses[2].reason
    );
    assert_eq!(sim.share(2, 2), 1.0, "the traffic of zone c must stay");
    // Zone c leaves service once zone a has recovered.
    sim.zones[0].usable_share = 1.0;
    sim.run(20.0);
    assert_eq!(
        (sim.document.zone_statuses[2].admitted_share, sim.share(2, 2)),
        (0.0, 0.0),
        "zone c must leave service: {:?}",
        sim.document.zone_statuses
    );
}

#[test]
fn capacity_removed_for_relief_counts_towards_the_limit() {
    let bounds = Bounds { max_capacity_removed: 0.7, shared_cause_share: 1.0, ..Bounds::default() };
    let mut sim = Simulation::with_config(crate::simulation::topology(), Rules::near_first(1, 1), bounds);
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(5.0);
    // Zone b becomes unhealthy under the spillover, and zone c soon after. Relief does not help zone b, which
    // then counts as completely removed.
    sim.zones[1].failing_share = 0.5;
    sim.run(2.5);
    assert_eq!(sim.document.zone_statuses[1].admitted_share, 0.5);
    sim.zones[2].failing_share = 0.5;
    sim.run(20.0);
    for (_, document) in &sim.agreed_documents {
        let removed: f32 =
            document.zone_statuses.iter().map(|status| 0.25 * (1.0 - status.admitted_share)).sum();
        assert!(removed <= 0.7, "capacity {removed} is out of service: {:?}", document.zone_statuses);
    }
    assert_eq!(
        (sim.document.zone_statuses[1].admitted_share, sim.document.zone_statuses[2].admitted_share),
        (0.0, 1.0)
    );
}

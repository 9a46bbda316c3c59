//! Operators' orders, changes of the leader, and changes of the topology or rules during a failover.

use crate::simulation::{Simulation, topology};
use maplehook_failover::report_store::ReportStore;
use maplehook_failover::verdict::VerdictMatrix;
use maplehook_failover::{Bounds, Decider, Order, OrderError, Report, ZoneObservation, ZoneState, digest};
use maplehook_locality::{Rule, Rules, Topology, Zone};
use std::time::Duration;

fn evacuate(zones: &[u16], for_ms: Option<u64>, anyway: bool) -> Order {
    Order::Evacuate {
        zones: zones.iter().map(|zone| Zone(*zone)).collect(),
        by: "ann".into(),
        for_ms,
        anyway,
    }
}

#[test]
fn evacuation_moves_all_traffic_and_expires() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let document = sim.decider.order(sim.now, evacuate(&[0], Some(30_000), false)).unwrap();
    assert_eq!(document.evacuations[0].remaining_ms, Some(30_000));
    sim.apply_document(document);
    sim.reset_counters();
    sim.run(3.0);
    assert_eq!((sim.zone_state(0), sim.share(0, 0)), (ZoneState::Evacuated, 0.0));
    assert!(sim.served() > 0.999 && sim.max_load <= 1.001);
    sim.run(28.0);
    assert!(sim.document.evacuations.is_empty());
    assert_eq!(sim.zone_state(0), ZoneState::Returning);
    sim.run(40.0);
    assert_eq!((sim.zone_state(0), sim.share(0, 0)), (ZoneState::Serving, 1.0));
}

#[test]
fn evacuation_beyond_the_remaining_capacity_is_rejected_with_numbers() {
    let mut sim = Simulation::new();
    sim.zones.iter_mut().for_each(|zone| zone.demand = 800.0);
    assert_eq!(sim.decider.order(sim.now, evacuate(&[0], None, false)), Err(OrderError::NoReportsYet));
    sim.run(10.0);
    let epoch = sim.document.plan.epoch;
    let rejected = sim.decider.order(sim.now, evacuate(&[0], None, false)).unwrap_err();
    let message = rejected.to_string();
    assert!(
        message.contains("of 3200 requests per second 200 would be rejected") && message.contains("3000"),
        "unexpected message: {message}"
    );
    sim.run(5.0);
    assert_eq!(
        (sim.zone_state(0), sim.document.plan.epoch),
        (ZoneState::Serving, epoch),
        "a rejected order must change nothing"
    );
    assert_eq!(sim.decider.order(sim.now, evacuate(&[9], None, true)), Err(OrderError::UnknownZone));
    let all = sim.decider.order(sim.now, evacuate(&[0, 1, 2, 3], None, true));
    assert_eq!(
        all,
        Err(OrderError::TooFewZones { remaining: 0, required: 1 }),
        "the minimum number of zones also limits forced evacuations"
    );
    let document = sim.decider.order(sim.now, evacuate(&[0], None, true)).unwrap();
    sim.apply_document(document);
    sim.run(5.0);
    assert_eq!((sim.zone_state(0), sim.share(0, 0)), (ZoneState::Evacuated, 0.0));
    assert!(sim.max_load <= 1.001);
}

#[test]
fn second_evacuation_is_checked_together_with_the_first() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let first = sim.decider.order(sim.now, evacuate(&[0], Some(60_000), false)).unwrap();
    sim.apply_document(first);
    sim.run(5.0);
    // The remaining two zones have a capacity of 2000 for a demand of 1880, and the two evacuated zones stay
    // within the limit on removed capacity.
    let second = sim.decider.order(sim.now, evacuate(&[1], None, false)).unwrap();
    sim.apply_document(second);
    sim.run(5.0);
    assert_eq!((sim.zone_state(0), sim.zone_state(1)), (ZoneState::Evacuated, ZoneState::Evacuated));
    assert!(sim.share(0, 2) + sim.share(0, 3) > 0.99);
    let third = sim.decider.order(sim.now, evacuate(&[2], None, false)).unwrap_err();
    assert!(
        matches!(third, OrderError::TooMuchCapacityRemoved { removed, .. } if removed > 0.7),
        "unexpected rejection: {third}"
    );
    // The evacuation of zone a expires; that of zone b has no time limit.
    sim.run(60.0);
    assert_eq!((sim.document.evacuations.len(), sim.zone_state(1)), (1, ZoneState::Evacuated));
    let release = |zones: &[u16]| Order::Release {
        by: "ann".into(),
        zones: zones.iter().map(|zone| Zone(*zone)).collect(),
    };
    let expired = sim.decider.order(sim.now, release(&[0]));
    assert_eq!(expired, Err(OrderError::NothingToRelease), "the evacuation of zone a has expired");
    let released = sim.decider.order(sim.now, release(&[1])).unwrap();
    sim.apply_document(released);
    sim.run(5.0);
    assert_eq!(sim.zone_state(1), ZoneState::Returning);
    let again = sim.decider.order(sim.now, Order::Release { by: "ann".into(), zones: Vec::new() });
    assert_eq!(again, Err(OrderError::NothingToRelease));
}

#[test]
fn held_plan_does_not_change_during_an_outage() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let hold = sim.decider.order(sim.now, Order::Hold { by: "ann".into() }).unwrap();
    sim.apply_document(hold);
    let rejected = sim.decider.order(sim.now, evacuate(&[3], None, true)).unwrap_err();
    assert!(rejected.to_string().contains("held by ann"), "unexpected rejection: {rejected}");
    let epoch = sim.document.plan.epoch;
    sim.zones[0].usable_share = 0.0;
    sim.run(10.0);
    assert_eq!(
        (sim.zone_state(0), sim.document.plan.epoch),
        (ZoneState::Unreachable, epoch),
        "the state must be reported while the plan stays unchanged"
    );
    let released =
        sim.decider.order(sim.now, Order::Release { by: "ann".into(), zones: Vec::new() }).unwrap();
    sim.apply_document(released);
    sim.run(3.0);
    assert_eq!(sim.share(0, 0), 0.0);
}

#[test]
fn new_leader_continues_from_the_last_document() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(6.0);
    let order = sim.decider.order(sim.now, evacuate(&[3], Some(60_000), true)).unwrap();
    sim.apply_document(order);
    sim.run(6.0);
    let last_document = sim.document.clone();
    // The new leader has another clock and no reports.
    let offset = Duration::from_secs(3);
    sim.decider =
        Decider::new(topology(), Rules::near_first(1, 1), Bounds::default(), Some(&last_document), offset);
    sim.now = offset;
    sim.set_members(0);
    sim.reset_counters();
    sim.run(5.0);
    assert_eq!(sim.document.plan.rows, last_document.plan.rows);
    assert!(sim.document.plan.epoch >= last_document.plan.epoch);
    assert_eq!((sim.zone_state(0), sim.zone_state(3)), (ZoneState::Unreachable, ZoneState::Evacuated));
    let status = &sim.document.zone_statuses[0];
    assert!(status.since_ms > last_document.zone_statuses[0].since_ms, "state age must grow: {status:?}");
    assert!(
        status.penalty > last_document.zone_statuses[0].penalty * 0.8
            && status.penalty <= last_document.zone_statuses[0].penalty
    );
    let remaining_ms = sim.document.evacuations[0].remaining_ms.unwrap();
    assert!((45_000..54_000).contains(&remaining_ms), "{remaining_ms} ms remain, expected 45 to 54 s");
    assert!(sim.max_load <= 1.001 && sim.served() > 0.99, "load {}, served {}", sim.max_load, sim.served());
}

#[test]
fn leader_ignores_earlier_reports_after_a_pause() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    // The last reports before a pause of ten seconds show an outage of half a second.
    sim.zones[0].usable_share = 0.0;
    sim.run(0.5);
    let document_count = sim.agreed_documents.len();
    sim.now += Duration::from_secs(10);
    assert_eq!(sim.decider.tick(sim.now), None);
    assert_eq!(sim.agreed_documents.len(), document_count);
    sim.zones[0].usable_share = 1.0;
    // After the pause, two balancers of zone b report first. Their demand is not the total demand.
    sim.alter_report =
        |now, zone, n, report| (now >= Duration::from_millis(21_500) || zone == 1 && n < 2).then_some(report);
    let plan = sim.document.plan.clone();
    sim.run(1.0);
    assert_eq!(sim.document.plan, plan);
    sim.run(5.0);
    assert!(sim.document.plan.rows.is_empty() && sim.zone_state(0) == ZoneState::Serving);
}

#[test]
fn proposal_is_repeated_until_agreed_on_and_a_document_of_another_leader_is_adopted() {
    let mut sim = Simulation::new();
    sim.run(11.0);
    sim.zones[0].usable_share = 0.0;
    let mut proposals = Vec::new();
    let mut ticks = 0;
    while proposals.len() < 3 && ticks < 60 {
        ticks += 1;
        sim.step_without_agreement(&mut proposals);
    }
    assert_eq!(proposals.len(), 3, "the leader must repeat a proposal that is not agreed on");
    let epochs: Vec<u64> = proposals.iter().map(|document| document.plan.epoch).collect();
    assert!(
        epochs.is_sorted() && epochs[0] > sim.decider.document().plan.epoch,
        "proposed epochs: {epochs:?}"
    );
    let mut other_document = proposals[2].clone();
    other_document.plan.epoch += 40;
    sim.decider.accepted(&other_document);
    assert_eq!(sim.decider.document().plan.epoch, epochs[2] + 40);
    sim.zones[1].usable_share = 0.0;
    proposals.clear();
    while proposals.is_empty() {
        sim.step_without_agreement(&mut proposals);
    }
    assert!(proposals[0].plan.epoch >= other_document.plan.epoch);
}

#[test]
fn rule_change_during_a_failover_applies_at_once() {
    let mut sim = Simulation::new();
    sim.zones[1].demand = 790.0;
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(6.0);
    assert!(sim.share(0, 2) > 0.1);
    let mut rule = Rule::near_first();
    rule.never = vec![Zone(2)];
    let rules = Rules::new(vec![rule], 1, 1, |_, _| 0);
    let epoch = sim.document.plan.epoch;
    sim.decider.reconfigure(topology(), rules.clone(), sim.now);
    // The document is adapted to the new rules before the next tick.
    let document = sim.decider.document();
    assert!(
        document.plan.rows.iter().all(|row| row.part(Zone(2)) == 0 || row.from == Zone(2)),
        "the rule excludes zone c: {:?}",
        document.plan
    );
    assert_eq!((document.digest, document.plan.epoch), (digest(&topology(), &rules), epoch));
    assert!(
        document.zone_statuses[0].state == ZoneState::Unreachable && document.zone_statuses[0].penalty > 0.0
    );
    sim.set_members(0);
    sim.run(10.0);
    assert_eq!((sim.zone_state(0), sim.share(0, 2), sim.share(0, 0)), (ZoneState::Unreachable, 0.0, 0.0));
    assert!(sim.share(0, 3) > 0.1 && sim.max_load <= 1.001);
}

#[test]
fn zone_states_are_carried_over_by_zone_name() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(6.0);
    let shares = (sim.share(0, 1), sim.share(0, 2));
    assert!(shares.0 > 0.5);
    // The new topology adds a zone in front of all others and renames zone d to e.
    let topology =
        Topology::new([("east", vec!["new"]), ("north", vec!["a", "b"]), ("south", vec!["c", "e"])]).unwrap();
    let (previous_status, epoch) = (sim.document.zone_statuses[0].clone(), sim.document.plan.epoch);
    sim.decider.reconfigure(topology.clone(), Rules::near_first(1, 1), sim.now);
    let document = sim.decider.document().clone();
    assert_eq!(document.zones, ["new", "a", "b", "c", "e"]);
    assert_eq!((document.zone_statuses[1].state, document.plan.epoch), (ZoneState::Unreachable, epoch));
    assert!(
        document.zone_statuses[1].since_ms >= previous_status.since_ms
            && document.zone_statuses[1].reason.contains("out of reach")
    );
    let row = document.plan.row(0, Zone(1)).unwrap();
    assert!(row.part(Zone(2)) >= 5000 && row.is_sound(), "most traffic of zone a must go to zone b: {row:?}");
    // Reports with the digest of another topology are rejected.
    assert!(!sim.decider.record_report(sim.now, "1-0", sim.report_with_digest(1, 77)));
    sim.topology = topology;
    sim.zones.insert(0, crate::simulation::healthy_zone());
    sim.sent_rates = vec![vec![0.0; 5]; 5];
    sim.rejected_rates = vec![0.0; 5];
    sim.document = document;
    sim.reports_in_transit.clear();
    sim.set_members(0);
    sim.reset_counters();
    sim.run(10.0);
    assert_eq!((sim.zone_state(1), sim.share(1, 1)), (ZoneState::Unreachable, 0.0));
    assert!(sim.max_load <= 1.001 && sim.served() > 0.99, "load {}, served {}", sim.max_load, sim.served());
}

#[test]
fn zone_without_listed_upstreams_receives_no_traffic() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(6.0);
    assert!(sim.share(0, 1) > 0.5);
    // Discovery no longer lists upstreams in zone b, so that none can be unhealthy there.
    sim.zones[1].capacity = 0.0;
    sim.run(4.0);
    assert_eq!(
        (sim.share(0, 1), sim.share(1, 1)),
        (0.0, 0.0),
        "zone b must receive nothing: {:?}",
        sim.document.plan
    );
    sim.reset_counters();
    sim.run(5.0);
    assert!(sim.served() > 0.99 && sim.max_load <= 1.001, "served {}, load {}", sim.served(), sim.max_load);
}

#[test]
fn balancers_without_a_zone_reduce_the_usable_capacity() {
    let mut sim = Simulation::new();
    sim.balancers_per_zone = 2;
    sim.zones.iter_mut().for_each(|zone| zone.demand = 250.0);
    // Eight balancers have no zone and send as much as the other eight: 750 of 1000 remain in each zone.
    sim.set_members(8);
    sim.run(10.0);
    assert!(sim.document.plan.rows.is_empty());
    let (usable, spare) = (sim.document.zone_statuses[0].usable, sim.document.plan.spare[0]);
    assert!((usable - 750.0).abs() < 1.0 && (spare - 450.0).abs() < 1.0, "usable {usable}, spare {spare}");
    sim.zones[0].usable_share = 0.0;
    sim.run(5.0);
    let rate_into_b: f64 = (0..4).map(|from| sim.share(from, 1) * 250.0).sum();
    assert!(
        rate_into_b <= 667.0 + 1.0 && sim.share(0, 1) > 0.3,
        "rate into zone b {rate_into_b}: {:?}",
        sim.document.plan
    );
}

#[test]
fn capacities_are_learned_when_reports_give_only_weights() {
    let mut sim = Simulation::new();
    sim.states_capacity = false;
    sim.run(40.0);
    for zone in 0..4 {
        let usable = sim.document.zone_statuses[zone].usable;
        assert!((usable - 1000.0).abs() < 50.0, "learned capacity of zone {zone}: {usable}");
    }
    sim.zones[0].usable_share = 0.0;
    sim.run(5.0);
    sim.reset_counters();
    sim.run(20.0);
    assert!(sim.served() > 0.99 && sim.max_load <= 1.05, "served {}, load {}", sim.served(), sim.max_load);
}

/// Guards against a plan that moves the traffic of a zone that recovers half a second later than other zones.
#[test]
fn zones_that_recover_one_by_one_from_a_shared_cause_move_no_traffic() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let epoch = sim.document.plan.epoch;
    sim.zones.iter_mut().for_each(|zone| zone.usable_share = 0.0);
    sim.run(8.0);
    assert!(sim.document.shared_cause.is_some());
    for zone in 0..4 {
        sim.zones[zone].usable_share = 1.0;
        sim.run(0.8);
        assert_eq!(sim.document.plan.epoch, epoch, "the recovery of zone {zone} must not change the plan");
    }
    sim.run(20.0);
    assert!(sim.document.shared_cause.is_none());
    assert_eq!(sim.share(3, 3), 1.0);
}

/// Guards against declaring a zone without reports unreachable while its own region reaches it: the zone may
/// only be disconnected from the leader.
#[test]
fn zone_without_reports_that_another_zone_reaches_is_partitioned() {
    let report_of = |from: u16, reaches_zone_c: bool| Report {
        zone: Zone(from),
        number: 1,
        observations: vec![ZoneObservation {
            zone: Zone(2),
            listed: 100.0,
            usable: 100.0,
            probes: 3.0,
            failed_probes: if reaches_zone_c { 0.0 } else { 3.0 },
            ..ZoneObservation::default()
        }],
        ..Report::default()
    };
    let zone_c_state = |d_reaches_c: bool| {
        let reports = [report_of(0, false), report_of(1, false), report_of(3, d_reaches_c)];
        let reports: Vec<&Report> = reports.iter().collect();
        let (verdicts, _) = VerdictMatrix::of(4, &reports);
        verdicts.assess(&ReportStore::default(), &reports)[2].state
    };
    assert_eq!((zone_c_state(true), zone_c_state(false)), (ZoneState::Partitioned, ZoneState::Unreachable));
    // The last report of zone c is from a time without clients, and gives no evidence about zone c.
    let idle_report = Report { zone: Zone(2), number: 1, ..report_of(2, true) };
    let idle_report = Report {
        observations: vec![ZoneObservation {
            zone: Zone(2),
            listed: 100.0,
            usable: 100.0,
            ..ZoneObservation::default()
        }],
        ..idle_report
    };
    let reports = [report_of(0, false), report_of(1, false), report_of(3, true), idle_report];
    let reports: Vec<&Report> = reports.iter().collect();
    let (verdicts, _) = VerdictMatrix::of(4, &reports);
    assert_eq!(verdicts.assess(&ReportStore::default(), &reports)[2].state, ZoneState::Partitioned);
}

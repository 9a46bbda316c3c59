//! Dwell times and thresholds: changes that have to last, and changes too small for a new plan.

use crate::simulation::Simulation;
use maplehook_failover::{Bounds, Document, Report, ZoneState};
use maplehook_locality::{Rule, Rules, Zone};
use std::time::Duration;

fn simulation_with_rule(rule: Rule) -> Simulation {
    Simulation::with_config(
        crate::simulation::topology(),
        Rules::new(vec![rule], 1, 1, |_, _| 0),
        Bounds::default(),
    )
}

/// Returns the number of plan changes between the first and the last document.
fn count_plan_changes(documents: &[(Duration, Document)]) -> u64 {
    documents.last().map_or(0, |(_, last)| last.plan.epoch - documents[0].1.plan.epoch)
}

#[test]
fn spillover_starts_and_ends_only_after_its_dwell_times() {
    let mut rule = Rule::near_first();
    rule.spill.over_for = Duration::from_secs(4);
    rule.spill.back_for = Duration::from_secs(6);
    let mut sim = simulation_with_rule(rule);
    sim.run(10.0);
    sim.zones[0].demand = 950.0;
    sim.run(3.5);
    assert_eq!(sim.share(0, 0), 1.0, "the load was above the threshold for less than four seconds");
    sim.run(3.0);
    assert!(
        (sim.share(0, 0) - 800.0 / 950.0).abs() < 0.03,
        "zone a must keep 800 requests per second: {:?}",
        sim.document.plan
    );
    // Between the two thresholds spillover stays active, and a load of 95 % does not have to wait again.
    sim.zones[0].demand = 700.0;
    sim.run(10.0);
    sim.zones[0].demand = 950.0;
    sim.run(2.0);
    assert!(sim.share(0, 0) < 0.9, "spillover must still be active: {:?}", sim.document.plan);
    // After enough time below the lower threshold, a higher load has to wait again.
    sim.zones[0].demand = 300.0;
    sim.run(10.0);
    sim.zones[0].demand = 950.0;
    sim.run(3.0);
    assert_eq!(sim.share(0, 0), 1.0, "spillover must have ended: {:?}", sim.document.plan);
}

#[test]
fn demand_above_the_capacity_spills_over_without_waiting() {
    let mut rule = Rule::near_first();
    rule.spill.over_for = Duration::from_secs(60);
    rule.usable_least = 0.0;
    let mut sim = simulation_with_rule(rule);
    sim.run(10.0);
    sim.zones[0].capacity = 400.0;
    sim.run(3.0);
    assert!(
        (sim.share(0, 0) - 400.0 / 470.0).abs() < 0.01,
        "zone a must stay exactly full: {:?}",
        sim.document.plan
    );
}

#[test]
fn too_little_usable_capacity_in_a_step_starts_spillover_at_once() {
    let mut rule = Rule::near_first();
    rule.spill.over_for = Duration::from_secs(60);
    rule.usable_least = 0.5;
    let mut sim = simulation_with_rule(rule);
    sim.zones[0].demand = 380.0;
    sim.run(10.0);
    sim.zones[0].usable_share = 0.45;
    sim.run(3.0);
    assert!(
        (sim.share(0, 0) - 0.8 * 450.0 / 380.0).abs() < 0.01,
        "zone a must keep 80 % of its usable capacity: {:?}",
        sim.document.plan
    );
}

#[test]
fn small_fluctuations_of_demand_cause_few_plan_changes() {
    let mut sim = Simulation::new();
    sim.zones[0].capacity = 400.0;
    sim.run(20.0);
    sim.reset_counters();
    for n in 0..240u32 {
        let deviation = f64::from(n.wrapping_mul(2_654_435_761) >> 16 & 0xff) / 255.0 - 0.5;
        sim.zones.iter_mut().for_each(|zone| zone.demand = 470.0 * (1.0 + 0.01 * deviation));
        sim.run(0.25);
    }
    assert!(
        count_plan_changes(&sim.agreed_documents) <= 6,
        "{} plan changes in a minute",
        count_plan_changes(&sim.agreed_documents)
    );
    assert!(sim.max_load <= 1.03, "maximum load {}", sim.max_load);
}

#[test]
fn short_outage_between_two_zones_moves_no_traffic() {
    let mut sim = Simulation::new();
    sim.zones[0].capacity = 300.0;
    sim.zones[1].demand = 790.0;
    sim.run(10.0);
    let share = sim.share(0, 2);
    assert!(share > 0.1);
    sim.zones[2].unreachable_from = vec![0];
    sim.run(0.75);
    sim.zones[2].unreachable_from = vec![];
    sim.reset_counters();
    sim.run(5.0);
    assert!(sim.agreed_documents.iter().all(|(_, d)| d.zone_statuses[2].unreachable_from.is_empty()));
    assert!(sim.share(0, 2) > 0.1);
}

#[test]
fn pause_of_the_leader_does_not_extend_an_outage() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(0.5);
    sim.zones[0].usable_share = 1.0;
    sim.reset_counters();
    // The leader is paused for four seconds. The last reports, which show the outage, have not expired yet.
    sim.now += Duration::from_secs(4);
    sim.step();
    sim.run(5.0);
    assert!(
        sim.agreed_documents
            .iter()
            .all(|(_, d)| d.zone_statuses[0].admitted_share == 1.0 && d.plan.rows.is_empty())
    );
}

#[test]
fn outdated_and_invalid_reports_are_rejected() {
    let mut sim = Simulation::new();
    sim.run(5.0);
    let now = sim.now;
    let report = |start: u64, number: u64| Report { start, number, ..sim.report(1) };
    let reports = [
        (report(1, 900), true),
        (report(1, 899), false),
        (report(1, 900), false),
        (report(2, 1), true),
        (report(1, 9999), false),
        (report(2, 2), true),
    ];
    let report_of_another_zone = Report { zone: Zone(2), ..report(3, 1) };
    let invalid_report = {
        let mut report = report(3, 1);
        report.observations[0].sent = f32::NAN;
        report
    };
    for (n, (report, is_accepted)) in reports.into_iter().enumerate() {
        assert_eq!(sim.decider.record_report(now, "1-0", report), is_accepted, "report {n}");
    }
    assert!(!sim.decider.record_report(now, "1-0", report_of_another_zone), "balancer 1-0 is in zone 1");
    assert!(!sim.decider.record_report(now, "1-0", invalid_report));
    assert!(!sim.decider.record_report(now, "nobody", sim.report(1)));
    // A restart set the balancer's clock back: its reports are accepted again after a minute.
    let report_after_restart = Report { start: 1, number: 1, ..sim.report(1) };
    assert!(!sim.decider.record_report(now + Duration::from_secs(30), "1-0", report_after_restart.clone()));
    assert!(sim.decider.record_report(now + Duration::from_secs(61), "1-0", report_after_restart));
}

#[test]
fn spare_capacity_shrinks_as_load_grows() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    assert!(sim.document.plan.spare[1] > 250.0);
    sim.zones[1].demand = 780.0;
    sim.run(2.0);
    assert!(
        sim.document.plan.rows.is_empty() && sim.document.plan.spare[1] <= 199.0,
        "no traffic may move and the spare capacity of zone b must shrink: {:?}",
        sim.document.plan
    );
    sim.zones[1].demand = 850.0;
    sim.run(2.0);
    assert!(sim.document.plan.spare[1] <= 181.0, "spare capacities: {:?}", sim.document.plan.spare);
    sim.zones[1].usable_share = 0.0;
    sim.run(4.0);
    assert_eq!((sim.document.plan.spare[1], sim.zone_state(1)), (0.0, ZoneState::Unreachable));
}

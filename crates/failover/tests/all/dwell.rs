//! Times, thresholds and small changes: what waits, and what is not worth a plan.

use crate::world::World;
use maplehook_failover::{Bounds, Document, Report, ZoneState};
use maplehook_locality::{Rule, Rules, Zone};
use std::time::Duration;

fn with(rule: Rule) -> World {
    World::with(crate::world::topology(), Rules::new(vec![rule], 1, 1, |_, _| 0), Bounds::default())
}

fn epochs(documents: &[(Duration, Document)]) -> u64 {
    documents.last().map_or(0, |(_, last)| last.plan.epoch - documents[0].1.plan.epoch)
}

#[test]
fn spilling_begins_after_its_time_and_ends_after_its_time() {
    let mut rule = Rule::near_first();
    rule.spill.over_for = Duration::from_secs(4);
    rule.spill.back_for = Duration::from_secs(6);
    let mut world = with(rule);
    world.run(10.0);
    world.zones[0].demand = 950.0;
    world.run(3.5);
    assert_eq!(world.part(0, 0), 1.0, "for less than four seconds over");
    world.run(3.0);
    assert!((world.part(0, 0) - 800.0 / 950.0).abs() < 0.03, "{:?}", world.force.plan);
    // Between the two thresholds it stays open: 85 % again is not waited for anew.
    world.zones[0].demand = 700.0;
    world.run(10.0);
    world.zones[0].demand = 950.0;
    world.run(2.0);
    assert!(world.part(0, 0) < 0.9, "{:?}", world.force.plan);
    // Under the lower one for long enough, it is.
    world.zones[0].demand = 300.0;
    world.run(10.0);
    world.zones[0].demand = 950.0;
    world.run(3.0);
    assert_eq!(world.part(0, 0), 1.0, "{:?}", world.force.plan);
}

#[test]
fn what_has_no_room_is_not_waited_for() {
    let mut rule = Rule::near_first();
    rule.spill.over_for = Duration::from_secs(60);
    rule.usable_least = 0.0;
    let mut world = with(rule);
    world.run(10.0);
    world.zones[0].room = 400.0;
    world.run(3.0);
    assert!((world.part(0, 0) - 400.0 / 470.0).abs() < 0.01, "full, and no less: {:?}", world.force.plan);
}

#[test]
fn too_little_of_a_step_usable_opens_the_next() {
    let mut rule = Rule::near_first();
    rule.spill.over_for = Duration::from_secs(60);
    rule.usable_least = 0.5;
    let mut world = with(rule);
    world.zones[0].demand = 380.0;
    world.run(10.0);
    world.zones[0].up = 0.45;
    world.run(3.0);
    assert!((world.part(0, 0) - 0.8 * 450.0 / 380.0).abs() < 0.01, "{:?}", world.force.plan);
}

#[test]
fn demand_that_trembles_makes_no_plans() {
    let mut world = World::new();
    world.zones[0].room = 400.0;
    world.run(20.0);
    world.count_anew();
    for n in 0..240u32 {
        let tremble = f64::from(n.wrapping_mul(2_654_435_761) >> 16 & 0xff) / 255.0 - 0.5;
        world.zones.iter_mut().for_each(|zone| zone.demand = 470.0 * (1.0 + 0.01 * tremble));
        world.run(0.25);
    }
    assert!(epochs(&world.documents) <= 6, "{} in a minute", epochs(&world.documents));
    assert!(world.worst <= 1.03, "{}", world.worst);
}

#[test]
fn a_glitch_of_one_way_closes_nothing() {
    let mut world = World::new();
    world.zones[0].room = 300.0;
    world.zones[1].demand = 790.0;
    world.run(10.0);
    let into = world.part(0, 2);
    assert!(into > 0.1);
    world.zones[2].unreachable_from = vec![0];
    world.run(0.75);
    world.zones[2].unreachable_from = vec![];
    world.count_anew();
    world.run(5.0);
    assert!(world.documents.iter().all(|(_, d)| d.zone_statuses[2].unreachable_from.is_empty()));
    assert!(world.part(0, 2) > 0.1);
}

#[test]
fn a_pause_of_the_leader_is_no_evidence() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(0.5);
    world.zones[0].up = 1.0;
    world.count_anew();
    // Four seconds in which it hears and says nothing: what it heard last is not yet stale.
    world.now += Duration::from_secs(4);
    world.step();
    world.run(5.0);
    assert!(
        world
            .documents
            .iter()
            .all(|(_, d)| d.zone_statuses[0].admitted_share == 1.0 && d.plan.rows.is_empty())
    );
}

#[test]
fn reports_that_overtake_each_other_do_not_go_back() {
    let mut world = World::new();
    world.run(5.0);
    let now = world.now;
    let of = |start: u64, number: u64| Report { start, number, ..world.report(1) };
    let reports = [
        (of(1, 900), true),
        (of(1, 899), false),
        (of(1, 900), false),
        (of(2, 1), true),
        (of(1, 9999), false),
        (of(2, 2), true),
    ];
    let zone_of_another = Report { zone: Zone(2), ..of(3, 1) };
    let wild = {
        let mut report = of(3, 1);
        report.observations[0].sent = f32::NAN;
        report
    };
    for (n, (report, taken)) in reports.into_iter().enumerate() {
        assert_eq!(world.decider.record_report(now, "1-0", report), taken, "{n}");
    }
    assert!(!world.decider.record_report(now, "1-0", zone_of_another), "it is of zone 1");
    assert!(!world.decider.record_report(now, "1-0", wild));
    assert!(!world.decider.record_report(now, "nobody", world.report(1)));
    // Its clock was set back by a restart: after a minute it is heard again.
    let late = Report { start: 1, number: 1, ..world.report(1) };
    assert!(!world.decider.record_report(now + Duration::from_secs(30), "1-0", late.clone()));
    assert!(world.decider.record_report(now + Duration::from_secs(61), "1-0", late));
}

#[test]
fn what_is_lent_is_taken_back_as_room_goes() {
    let mut world = World::new();
    world.run(10.0);
    assert!(world.force.plan.spare[1] > 250.0);
    world.zones[1].demand = 780.0;
    world.run(2.0);
    assert!(world.force.plan.rows.is_empty() && world.force.plan.spare[1] <= 199.0, "{:?}", world.force.plan);
    world.zones[1].demand = 850.0;
    world.run(2.0);
    assert!(world.force.plan.spare[1] <= 181.0, "{:?}", world.force.plan.spare);
    world.zones[1].up = 0.0;
    world.run(4.0);
    assert_eq!((world.force.plan.spare[1], world.state(1)), (0.0, ZoneState::Unreachable));
}

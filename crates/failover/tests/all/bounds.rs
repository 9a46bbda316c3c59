//! What bounds and dwell times keep from moving.

use crate::world::World;
use maplehook_failover::{Bounds, ZoneState};
use maplehook_locality::Rules;

#[test]
fn all_ill_at_once_moves_nothing_and_is_said() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].room = 500.0;
    world.run(10.0);
    let rows = world.force.plan.rows.clone();
    assert!(!rows.is_empty());
    world.zones.iter_mut().for_each(|zone| zone.failing = 0.6);
    world.run(30.0);
    assert_eq!(world.force.plan.rows, rows);
    let said = world.force.shared_cause.clone().unwrap();
    assert!(said.contains("4 of 4 zones"), "{said}");
    assert!((0..4).all(|zone| world.force.zone_statuses[zone].admitted_share == 1.0));
    world.zones.iter_mut().for_each(|zone| zone.failing = 0.0);
    world.run(10.0);
    assert_eq!((world.force.shared_cause.as_ref(), &world.force.plan.rows), (None, &rows));
}

#[test]
fn what_vanishes_everywhere_at_once_moves_nothing() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].room = 500.0;
    world.run(10.0);
    let rows = world.force.plan.rows.clone();
    // A settings version that lists no upstream any more, and is taken back.
    let rooms: Vec<f64> = world.zones.iter().map(|zone| zone.room).collect();
    world.zones.iter_mut().for_each(|zone| zone.room = 0.0);
    world.run(10.0);
    assert!(world.force.shared_cause.is_some());
    assert_eq!(world.force.plan.rows, rows);
    let order = maplehook_failover::Order::Evacuate {
        zones: vec![maplehook_locality::Zone(0)],
        by: "ann".into(),
        for_ms: None,
        anyway: true,
    };
    let rejected = world.decider.order(world.now, order).unwrap_err();
    assert!(rejected.to_string().contains("no traffic is moved"), "{rejected}");
    world.zones.iter_mut().zip(rooms).for_each(|(zone, room)| zone.room = room);
    world.run(5.0);
    assert_eq!((world.force.shared_cause.as_ref(), &world.force.plan.rows), (None, &rows));
}

#[test]
fn one_zone_alone_calls_no_other_lost() {
    let mut world = World::new();
    world.run(10.0);
    world.twist = |_, zone, _, mut report| {
        for sight in report.observations.iter_mut().filter(|sight| zone == 1 && sight.zone.0 != 1) {
            (sight.usable, sight.unreached) = (0.0, sight.sent);
        }
        Some(report)
    };
    world.count_anew();
    world.run(15.0);
    assert_eq!(world.state(1), ZoneState::Partitioned, "it is what is off");
    assert!(
        [0, 2, 3].into_iter().all(|zone| world.state(zone) == ZoneState::Serving),
        "{:?}",
        world.force.zone_statuses
    );
    assert!((0..4).all(|zone| world.part(zone, zone) == 1.0) && world.share_served() > 0.999);
}

#[test]
fn what_only_its_own_balancers_try_is_ill_and_left() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].up = 0.0;
    // The others send nothing there, and so know nothing of it.
    world.twist = |_, zone, _, mut report| {
        for sight in report.observations.iter_mut().filter(|sight| zone != 0 && sight.zone.0 == 0) {
            sight.usable = sight.listed;
        }
        Some(report)
    };
    world.run(5.0);
    assert_eq!(
        (world.state(0), world.part(0, 0)),
        (ZoneState::Unhealthy, 0.0),
        "{:?}",
        world.force.zone_statuses[0]
    );
    world.count_anew();
    world.run(5.0);
    assert!(world.share_served() > 0.999);
}

#[test]
fn no_more_is_moved_in_a_second_than_is_allowed() {
    let bounds = Bounds { max_moved_per_s: 0.05, ..Bounds::default() };
    let mut world = World::with(crate::world::topology(), Rules::near_first(1, 1), bounds);
    world.run(10.0);
    world.zones[0].up = 0.0;
    let began = world.now;
    let mut last = 1.0;
    for _ in 0..40 {
        world.step();
        let moved = 0.25 * (1.0 - world.part(0, 0));
        let passed = (world.now - began).as_secs_f64();
        assert!(moved <= 0.05 * (passed + 1.0) + 1e-3, "{moved} after {passed}");
        assert!(world.part(0, 0) <= last);
        last = world.part(0, 0);
    }
    assert_eq!(last, 0.0, "in the end it is moved");
}

#[test]
fn a_single_glitch_moves_nothing() {
    let mut world = World::new();
    world.run(10.0);
    world.count_anew();
    for _ in 0..5 {
        world.zones[0].up = 0.0;
        world.run(0.75);
        world.zones[0].up = 1.0;
        world.run(9.0);
    }
    assert!(
        world
            .documents
            .iter()
            .all(|(_, d)| d.plan.rows.is_empty() && d.zone_statuses[0].admitted_share == 1.0)
    );
}

#[test]
fn so_many_zones_stay_in_service_whatever_is_seen() {
    let bounds = Bounds {
        max_capacity_removed: 1.0,
        shared_cause_share: 1.0,
        min_zones_in_service: 2,
        ..Bounds::default()
    };
    let mut world = World::with(crate::world::topology(), Rules::near_first(1, 1), bounds);
    world.run(10.0);
    for zone in 0..3 {
        world.zones[zone].up = 0.0;
        world.run(5.0);
    }
    let given: Vec<f32> = world.force.zone_statuses.iter().map(|place| place.admitted_share).collect();
    assert_eq!(given, [0.0, 0.0, 1.0, 1.0], "{:?}", world.force.zone_statuses);
    assert_eq!(world.state(2), ZoneState::Unreachable, "it is said");
    assert!(
        world.force.zone_statuses[2].reason.contains("2 zones have to stay"),
        "{}",
        world.force.zone_statuses[2].reason
    );
    assert_eq!(world.part(2, 2), 1.0, "and not moved");
    // When another is back, it is let go.
    world.zones[0].up = 1.0;
    world.run(20.0);
    assert_eq!(
        (world.force.zone_statuses[2].admitted_share, world.part(2, 2)),
        (0.0, 0.0),
        "{:?}",
        world.force.zone_statuses
    );
}

#[test]
fn what_is_relieved_counts_as_away() {
    let bounds = Bounds { max_capacity_removed: 0.7, shared_cause_share: 1.0, ..Bounds::default() };
    let mut world = World::with(crate::world::topology(), Rules::near_first(1, 1), bounds);
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(5.0);
    // b falls ill under the spill and then c at once: b is not cured, and then as good as gone.
    world.zones[1].failing = 0.5;
    world.run(2.5);
    assert_eq!(world.force.zone_statuses[1].admitted_share, 0.5);
    world.zones[2].failing = 0.5;
    world.run(20.0);
    for (_, document) in &world.documents {
        let away: f32 = document.zone_statuses.iter().map(|place| 0.25 * (1.0 - place.admitted_share)).sum();
        assert!(away <= 0.7, "{:?}", document.zone_statuses);
    }
    assert_eq!(
        (world.force.zone_statuses[1].admitted_share, world.force.zone_statuses[2].admitted_share),
        (0.0, 1.0)
    );
}

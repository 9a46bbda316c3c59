//! What the leader makes of words that can't be, and of what had stood before it led.

use crate::world::{World, topology};
use maplehook_failover::capacity::{aggregate_demand, partition_reports};
use maplehook_failover::{Bounds, Decider, Document, Report, ZoneState};
use maplehook_locality::{Rules, Zone};
use std::time::Duration;

/// Wild figures of the one balancer of `d`.
fn wild(now: Duration, zone: usize, _: usize, mut report: Report) -> Option<Report> {
    if zone == 3 && now > Duration::from_secs(10) {
        let mut rng = fastrand::Rng::with_seed(now.as_millis() as u64);
        let mut wild = || rng.f32() * 1e6;
        for sight in &mut report.observations {
            (sight.listed, sight.usable, sight.sent) = (wild(), wild(), wild());
            (sight.ok, sight.unreached, sight.load) = (wild(), wild(), wild());
        }
        report.demand.iter_mut().for_each(|demand| demand.asked = wild());
    }
    Some(report)
}

#[test]
fn one_of_four_that_says_what_cannot_be_moves_nothing() {
    for stated in [true, false] {
        let mut world = World::new();
        (world.per_zone, world.twist, world.stated) = (1, wild, stated);
        world.set_members(0);
        world.run(20.0);
        assert!(world.force.plan.rows.is_empty(), "{:?}", world.force.plan);
        assert!(world.force.zone_statuses.iter().all(|place| place.state == ZoneState::Serving));
        world.zones[0].up = 0.0;
        world.run(4.0);
        world.count_anew();
        world.run(20.0);
        assert!(world.state(0) == ZoneState::Unreachable && world.state(3) == ZoneState::Serving);
        // Its clients are still there, and are planned for.
        assert!(
            world.share_served() > 0.99 && world.worst <= 1.01,
            "{} {}",
            world.share_served(),
            world.worst
        );
    }
}

#[test]
fn whose_word_cannot_be_has_the_clients_of_the_middle_one() {
    let mut world = World::new();
    world.per_zone = 1;
    world.run(3.0);
    let reports: Vec<Report> =
        (0..4).filter_map(|zone| wild(Duration::from_secs(11), zone, 0, world.report(zone))).collect();
    let (can_be, left) = partition_reports(4, &reports.iter().collect::<Vec<_>>());
    assert_eq!((can_be.len(), left.len(), left[0].zone), (3, 1, Zone(3)));
    let demand = aggregate_demand(&can_be, &left, 4000.0);
    assert!((demand[&(0, Zone(3))] - 470.0).abs() < 0.1, "{demand:?}");
}

/// Rooms that are stated twenty times too small.
fn small(_: Duration, _: usize, _: usize, mut report: Report) -> Option<Report> {
    for sight in &mut report.observations {
        (sight.listed, sight.usable) = (sight.listed / 20.0, sight.usable / 20.0);
    }
    Some(report)
}

#[test]
fn rooms_that_are_stated_far_too_small_blind_nobody() {
    let mut world = World::new();
    (world.per_zone, world.twist) = (1, small);
    world.set_members(0);
    world.run(10.0);
    assert!(
        world.force.zone_statuses.iter().all(|place| place.usable > 0.0),
        "{:?}",
        world.force.zone_statuses
    );
    world.zones[0].up = 0.0;
    world.run(4.0);
    assert_eq!(world.state(0), ZoneState::Unreachable);
}

/// The looks that whoever begins to lead needs until a zone is lost that has been out of reach from some zones for a time.
fn looks_of_the_next(out_ms: [u16; 4]) -> usize {
    let mut world = World::new();
    world.run(10.0);
    let before = world.force.clone();
    let mut next =
        Decider::new(topology(), Rules::near_first(1, 1), Bounds::default(), Some(&before), world.now);
    world.zones[0].up = 0.0;
    let mut now = world.now;
    for look in 1..20 {
        now += Duration::from_millis(250);
        for (zone, out_ms) in out_ms.into_iter().enumerate() {
            for n in 0..3 {
                let mut report = world.report(zone);
                report.number = 1000 + look as u64;
                report.observations[0].probes = 3.0;
                report.observations[0].failed_probes = 3.0;
                report.out_ms = vec![(Zone(0), out_ms)];
                let read = Report::decode(&report.encode()).unwrap();
                assert!(next.record_report(now, &format!("{zone}-{n}"), read));
            }
        }
        let lost = |document: &Document| document.zone_statuses[0].state == ZoneState::Unreachable;
        if next.tick(now).as_ref().is_some_and(lost) {
            return look;
        }
    }
    20
}

#[test]
fn whoever_leads_next_goes_on_from_what_two_zones_have_seen_already() {
    assert_eq!(looks_of_the_next([5000, 5000, 5000, 5000]), 1);
    assert_eq!(looks_of_the_next([0, 0, 1250, 2000]), 1);
    let alone = looks_of_the_next([0; 4]);
    assert!(alone > 4, "{alone}");
    // One zone's word alone, however long it says, shortens nothing.
    assert_eq!(looks_of_the_next([0, 60_000, 0, 0]), alone);
    assert!((2..alone).contains(&looks_of_the_next([0, 700, 0, 700])));
}

#[test]
fn who_comes_has_a_part_at_once_and_whoever_leads_next_forgets_nobody() {
    let mut world = World::new();
    world.run(10.0);
    let part = |document: &Document| document.plan.spare_rate(4, Zone(0), 1, 12);
    let before = part(&world.force);
    assert!(before > 0.0);
    world.per_zone = 4;
    world.set_members(0);
    world.run(1.0);
    assert!((part(&world.force) / before - 0.75).abs() < 0.01, "{before} {}", part(&world.force));
    // One of each zone is heard of at first.
    let (stands, now) = (world.force.clone(), world.now);
    let mut next = Decider::new(topology(), Rules::near_first(1, 1), Bounds::default(), Some(&stands), now);
    let mut now = now;
    for look in 1..30 {
        now += Duration::from_millis(250);
        for zone in 0..4 {
            let report = Report { number: 1000 + look, ..world.report(zone) };
            assert!(next.record_report(now, &format!("{zone}-0"), report));
        }
        if let Some(document) = next.tick(now) {
            next.accepted(&document);
        }
    }
    assert_eq!(next.document().plan.spare_section(2, 4), [4.0; 4]);
}

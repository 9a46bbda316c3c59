//! Operators' orders, leaders that follow each other, and places and rules that change meanwhile.

use crate::world::{World, topology};
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
fn an_evacuation_moves_what_there_is_and_ends_by_itself() {
    let mut world = World::new();
    world.run(10.0);
    let document = world.decider.order(world.now, evacuate(&[0], Some(30_000), false)).unwrap();
    assert_eq!(document.evacuations[0].remaining_ms, Some(30_000));
    world.take(document);
    world.count_anew();
    world.run(3.0);
    assert_eq!((world.state(0), world.part(0, 0)), (ZoneState::Evacuated, 0.0));
    assert!(world.share_served() > 0.999 && world.worst <= 1.001);
    world.run(28.0);
    assert!(world.force.evacuations.is_empty());
    assert_eq!(world.state(0), ZoneState::Returning);
    world.run(40.0);
    assert_eq!((world.state(0), world.part(0, 0)), (ZoneState::Serving, 1.0));
}

#[test]
fn an_evacuation_that_the_rest_can_not_bear_is_refused_with_numbers() {
    let mut world = World::new();
    world.zones.iter_mut().for_each(|zone| zone.demand = 800.0);
    assert_eq!(world.decider.order(world.now, evacuate(&[0], None, false)), Err(OrderError::NoReportsYet));
    world.run(10.0);
    let epoch = world.force.plan.epoch;
    let rejected = world.decider.order(world.now, evacuate(&[0], None, false)).unwrap_err();
    let said = rejected.to_string();
    assert!(
        said.contains("of 3200 requests per second 200 would be rejected") && said.contains("3000"),
        "{said}"
    );
    world.run(5.0);
    assert_eq!((world.state(0), world.force.plan.epoch), (ZoneState::Serving, epoch), "nothing of it stands");
    assert_eq!(world.decider.order(world.now, evacuate(&[9], None, true)), Err(OrderError::UnknownZone));
    let all = world.decider.order(world.now, evacuate(&[0, 1, 2, 3], None, true));
    assert_eq!(all, Err(OrderError::TooFewZones { remaining: 0, required: 1 }), "not even anyway");
    let document = world.decider.order(world.now, evacuate(&[0], None, true)).unwrap();
    world.take(document);
    world.run(5.0);
    assert_eq!((world.state(0), world.part(0, 0)), (ZoneState::Evacuated, 0.0));
    assert!(world.worst <= 1.001);
}

#[test]
fn an_evacuation_during_an_evacuation_counts_both() {
    let mut world = World::new();
    world.run(10.0);
    let first = world.decider.order(world.now, evacuate(&[0], Some(60_000), false)).unwrap();
    world.take(first);
    world.run(5.0);
    // Two of four would be left with 2000 for 1880: within the room, and within what may be away.
    let second = world.decider.order(world.now, evacuate(&[1], None, false)).unwrap();
    world.take(second);
    world.run(5.0);
    assert_eq!((world.state(0), world.state(1)), (ZoneState::Evacuated, ZoneState::Evacuated));
    assert!(world.part(0, 2) + world.part(0, 3) > 0.99);
    let third = world.decider.order(world.now, evacuate(&[2], None, false)).unwrap_err();
    assert!(matches!(third, OrderError::TooMuchCapacityRemoved { removed, .. } if removed > 0.7), "{third}");
    // The first one's time ends; the other's stays.
    world.run(60.0);
    assert_eq!((world.force.evacuations.len(), world.state(1)), (1, ZoneState::Evacuated));
    let release = |zones: &[u16]| Order::Release {
        by: "ann".into(),
        zones: zones.iter().map(|zone| Zone(*zone)).collect(),
    };
    let other = world.decider.order(world.now, release(&[0]));
    assert_eq!(other, Err(OrderError::NothingToRelease), "that one stands no more");
    let released = world.decider.order(world.now, release(&[1])).unwrap();
    world.take(released);
    world.run(5.0);
    assert_eq!(world.state(1), ZoneState::Returning);
    let again = world.decider.order(world.now, Order::Release { by: "ann".into(), zones: Vec::new() });
    assert_eq!(again, Err(OrderError::NothingToRelease));
}

#[test]
fn what_is_held_stays_as_it_is() {
    let mut world = World::new();
    world.run(10.0);
    let held = world.decider.order(world.now, Order::Hold { by: "ann".into() }).unwrap();
    world.take(held);
    let also = world.decider.order(world.now, evacuate(&[3], None, true)).unwrap_err();
    assert!(also.to_string().contains("held by ann"), "{also}");
    let epoch = world.force.plan.epoch;
    world.zones[0].up = 0.0;
    world.run(10.0);
    assert_eq!(
        (world.state(0), world.force.plan.epoch),
        (ZoneState::Unreachable, epoch),
        "it is said and not moved"
    );
    let released =
        world.decider.order(world.now, Order::Release { by: "ann".into(), zones: Vec::new() }).unwrap();
    world.take(released);
    world.run(3.0);
    assert_eq!(world.part(0, 0), 0.0);
}

#[test]
fn whoever_leads_next_goes_on_from_the_same_document() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(6.0);
    let order = world.decider.order(world.now, evacuate(&[3], Some(60_000), true)).unwrap();
    world.take(order);
    world.run(6.0);
    let before = world.force.clone();
    // Another, with another clock, that has heard nothing.
    let offset = Duration::from_secs(3);
    world.decider =
        Decider::new(topology(), Rules::near_first(1, 1), Bounds::default(), Some(&before), offset);
    world.now = offset;
    world.set_members(0);
    world.count_anew();
    world.run(5.0);
    assert_eq!(world.force.plan.rows, before.plan.rows);
    assert!(world.force.plan.epoch >= before.plan.epoch);
    assert_eq!((world.state(0), world.state(3)), (ZoneState::Unreachable, ZoneState::Evacuated));
    let place = &world.force.zone_statuses[0];
    assert!(place.since_ms > before.zone_statuses[0].since_ms, "ages go on: {place:?}");
    assert!(
        place.penalty > before.zone_statuses[0].penalty * 0.8
            && place.penalty <= before.zone_statuses[0].penalty
    );
    let left = world.force.evacuations[0].remaining_ms.unwrap();
    assert!((45_000..54_000).contains(&left), "{left}");
    assert!(world.worst <= 1.001 && world.share_served() > 0.99, "{} {}", world.worst, world.share_served());
}

#[test]
fn a_leader_that_was_stopped_decides_nothing_on_what_it_heard_before() {
    let mut world = World::new();
    world.run(10.0);
    // Ten seconds pass; in its ears is a bad half second of before.
    world.zones[0].up = 0.0;
    world.run(0.5);
    let number = world.documents.len();
    world.now += Duration::from_secs(10);
    assert_eq!(world.decider.tick(world.now), None);
    assert_eq!(world.documents.len(), number);
    world.zones[0].up = 1.0;
    // The first to be heard again are two of one zone: their demand is not all there is.
    world.twist =
        |now, zone, n, report| (now >= Duration::from_millis(21_500) || zone == 1 && n < 2).then_some(report);
    let plan = world.force.plan.clone();
    world.run(1.0);
    assert_eq!(world.force.plan, plan);
    world.run(5.0);
    assert!(world.force.plan.rows.is_empty() && world.state(0) == ZoneState::Serving);
}

#[test]
fn a_document_that_is_not_agreed_on_is_said_again_and_one_of_another_is_taken() {
    let mut world = World::new();
    world.run(11.0);
    world.zones[0].up = 0.0;
    let mut said = Vec::new();
    let mut looks = 0;
    while said.len() < 3 && looks < 60 {
        looks += 1;
        world.step_silently(&mut said);
    }
    assert_eq!(said.len(), 3, "until it stands");
    let epochs: Vec<u64> = said.iter().map(|document| document.plan.epoch).collect();
    assert!(epochs.is_sorted() && epochs[0] > world.decider.document().plan.epoch, "{epochs:?}");
    let mut other = said[2].clone();
    other.plan.epoch += 40;
    world.decider.accepted(&other);
    assert_eq!(world.decider.document().plan.epoch, epochs[2] + 40);
    world.zones[1].up = 0.0;
    said.clear();
    while said.is_empty() {
        world.step_silently(&mut said);
    }
    assert!(said[0].plan.epoch >= other.plan.epoch);
}

#[test]
fn rules_that_change_during_a_failover_are_kept_to_at_once() {
    let mut world = World::new();
    world.zones[1].demand = 790.0;
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(6.0);
    assert!(world.part(0, 2) > 0.1);
    let mut rule = Rule::near_first();
    rule.never = vec![Zone(2)];
    let rules = Rules::new(vec![rule], 1, 1, |_, _| 0);
    let epoch = world.force.plan.epoch;
    world.decider.reconfigure(topology(), rules.clone(), world.now);
    // Already what stands for it forbids it.
    let stands = world.decider.document();
    assert!(
        stands.plan.rows.iter().all(|row| row.part(Zone(2)) == 0 || row.from == Zone(2)),
        "{:?}",
        stands.plan
    );
    assert_eq!((stands.digest, stands.plan.epoch), (digest(&topology(), &rules), epoch));
    assert!(stands.zone_statuses[0].state == ZoneState::Unreachable && stands.zone_statuses[0].penalty > 0.0);
    world.set_members(0);
    world.run(10.0);
    assert_eq!((world.state(0), world.part(0, 2), world.part(0, 0)), (ZoneState::Unreachable, 0.0, 0.0));
    assert!(world.part(0, 3) > 0.1 && world.worst <= 1.001);
}

#[test]
fn zones_are_carried_over_by_name() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(6.0);
    let parts = (world.part(0, 1), world.part(0, 2));
    assert!(parts.0 > 0.5);
    // A zone comes in before all others, and d is called otherwise.
    let topology =
        Topology::new([("east", vec!["new"]), ("north", vec!["a", "b"]), ("south", vec!["c", "e"])]).unwrap();
    let (place, epoch) = (world.force.zone_statuses[0].clone(), world.force.plan.epoch);
    world.decider.reconfigure(topology.clone(), Rules::near_first(1, 1), world.now);
    let stands = world.decider.document().clone();
    assert_eq!(stands.zones, ["new", "a", "b", "c", "e"]);
    assert_eq!((stands.zone_statuses[1].state, stands.plan.epoch), (ZoneState::Unreachable, epoch));
    assert!(
        stands.zone_statuses[1].since_ms >= place.since_ms
            && stands.zone_statuses[1].reason.contains("unreachable from")
    );
    let row = stands.plan.row(0, Zone(1)).unwrap();
    assert!(row.part(Zone(2)) >= 5000 && row.is_sound(), "{row:?}");
    // What counts by the old places is not heard.
    assert!(!world.decider.record_report(world.now, "1-0", world.report_as(1, 77)));
    world.topology = topology;
    world.zones.insert(0, crate::world::calm());
    world.sent = vec![vec![0.0; 5]; 5];
    world.rejected = vec![0.0; 5];
    world.force = stands;
    world.on_the_way.clear();
    world.set_members(0);
    world.count_anew();
    world.run(10.0);
    assert_eq!((world.state(1), world.part(1, 1)), (ZoneState::Unreachable, 0.0));
    assert!(world.worst <= 1.001 && world.share_served() > 0.99, "{} {}", world.worst, world.share_served());
}

#[test]
fn a_zone_that_is_emptied_while_planned_to_is_planned_to_no_more() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(6.0);
    assert!(world.part(0, 1) > 0.5);
    // Discovery lists nothing there any more: no upstream, and no one who could be ill.
    world.zones[1].room = 0.0;
    world.run(4.0);
    assert_eq!((world.part(0, 1), world.part(1, 1)), (0.0, 0.0), "{:?}", world.force.plan);
    world.count_anew();
    world.run(5.0);
    assert!(world.share_served() > 0.99 && world.worst <= 1.001, "{} {}", world.share_served(), world.worst);
}

#[test]
fn half_of_the_balancers_without_places_are_counted() {
    let mut world = World::new();
    world.per_zone = 2;
    world.zones.iter_mut().for_each(|zone| zone.demand = 250.0);
    // As many without places, which send as much: a zone has 750 left of 1000.
    world.set_members(8);
    world.run(10.0);
    assert!(world.force.plan.rows.is_empty());
    let (usable, spare) = (world.force.zone_statuses[0].usable, world.force.plan.spare[0]);
    assert!((usable - 750.0).abs() < 1.0 && (spare - 450.0).abs() < 1.0, "{usable} {spare}");
    world.zones[0].up = 0.0;
    world.run(5.0);
    let into: f64 = (0..4).map(|from| world.part(from, 1) * 250.0).sum();
    assert!(into <= 667.0 + 1.0 && world.part(0, 1) > 0.3, "{into} {:?}", world.force.plan);
}

#[test]
fn rooms_that_nobody_states_are_learned() {
    let mut world = World::new();
    world.stated = false;
    world.run(40.0);
    for zone in 0..4 {
        let usable = world.force.zone_statuses[zone].usable;
        assert!((usable - 1000.0).abs() < 50.0, "{usable}");
    }
    world.zones[0].up = 0.0;
    world.run(5.0);
    world.count_anew();
    world.run(20.0);
    assert!(world.share_served() > 0.99 && world.worst <= 1.05, "{} {}", world.share_served(), world.worst);
}

/// Guards against a plan that moves a whole zone for the half second by which it comes back later than the others.
#[test]
fn what_one_cause_has_taken_comes_back_piece_by_piece_and_nothing_moves() {
    let mut world = World::new();
    world.run(10.0);
    let epoch = world.force.plan.epoch;
    world.zones.iter_mut().for_each(|zone| zone.up = 0.0);
    world.run(8.0);
    assert!(world.force.shared_cause.is_some());
    for zone in 0..4 {
        world.zones[zone].up = 1.0;
        world.run(0.8);
        assert_eq!(world.force.plan.epoch, epoch, "zone {zone} is back, the others follow");
    }
    world.run(20.0);
    assert!(world.force.shared_cause.is_none());
    assert_eq!(world.part(3, 3), 1.0);
}

/// Guards against a zone called lost that only its own region still reaches: its balancers may be out of touch with the leader.
#[test]
fn a_silent_zone_that_one_other_sees_well_is_cut_and_not_lost() {
    let sees = |from: u16, reaches: bool| Report {
        zone: Zone(from),
        number: 1,
        observations: vec![ZoneObservation {
            zone: Zone(2),
            listed: 100.0,
            usable: 100.0,
            probes: 3.0,
            failed_probes: if reaches { 0.0 } else { 3.0 },
            ..ZoneObservation::default()
        }],
        ..Report::default()
    };
    let state = |d_reaches: bool| {
        let reports = [sees(0, false), sees(1, false), sees(3, d_reaches)];
        let reports: Vec<&Report> = reports.iter().collect();
        let (views, _) = VerdictMatrix::of(4, &reports);
        views.assess(&ReportStore::default(), &reports)[2].state
    };
    assert_eq!((state(true), state(false)), (ZoneState::Partitioned, ZoneState::Unreachable));
    // Its last report is from before its clients came: that it sends nothing says nothing either.
    let quiet = Report { zone: Zone(2), number: 1, ..sees(2, true) };
    let quiet = Report {
        observations: vec![ZoneObservation {
            zone: Zone(2),
            listed: 100.0,
            usable: 100.0,
            ..ZoneObservation::default()
        }],
        ..quiet
    };
    let reports = [sees(0, false), sees(1, false), sees(3, true), quiet];
    let reports: Vec<&Report> = reports.iter().collect();
    let (views, _) = VerdictMatrix::of(4, &reports);
    assert_eq!(views.assess(&ReportStore::default(), &reports)[2].state, ZoneState::Partitioned);
}

//! A balancer's side: with the lease, without, and without any plan.

use crate::world::{World, topology};
use maplehook_failover::{BalancerRouting, Demand, Shares, ZoneObservation};
use maplehook_locality::{Rule, Rules, Topology, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(250);

fn near() -> Rules {
    Rules::near_first(1, 1)
}

fn sight(zone: u16, usable: f32) -> ZoneObservation {
    ZoneObservation { zone: Zone(zone), stated: true, listed: 1000.0, usable, ..ZoneObservation::default() }
}

fn observations(usable: [f32; 4]) -> Vec<ZoneObservation> {
    usable.iter().enumerate().map(|(zone, usable)| sight(zone as u16, *usable)).collect()
}

fn asked(rate: f32) -> Vec<Demand> {
    vec![Demand { rule: 0, asked: rate, rejected: 0.0 }]
}

/// Two seconds of the same.
fn after(
    acting: &mut BalancerRouting,
    now: &mut Duration,
    lease: bool,
    observations: &[ZoneObservation],
    demand: &[Demand],
) -> Shares {
    for _ in 0..8 {
        *now += STEP;
        acting.tick(*now, lease, observations, demand);
    }
    acting.routing().rules[0].clone()
}

fn part(shares: &Shares, zone: u16) -> f64 {
    shares.to.iter().find(|(z, _)| *z == Zone(zone)).map_or(0.0, |(_, part)| *part)
}

#[test]
fn with_the_lease_the_plan_is_acted_on_whatever_is_seen() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[0].up = 0.0;
    world.run(6.0);
    let mut now = Duration::ZERO;
    let mut acting = BalancerRouting::new(topology(), near(), Zone(0), now);
    acting.set_document(&world.force);
    let shares = after(&mut acting, &mut now, true, &observations([1000.0, 0.0, 0.0, 0.0]), &asked(150.0));
    assert!((part(&shares, 1) - world.part(0, 1)).abs() < 1e-9 && part(&shares, 0) == 0.0, "{shares:?}");
    assert!(acting.routing().uses_shared_plan && acting.routing().epoch == world.force.plan.epoch);
    // By name, where zones are counted otherwise.
    let other = Topology::new([("south", vec!["d", "c"]), ("north", vec!["b", "a"])]).unwrap();
    let mut acting = BalancerRouting::new(other, near(), Zone(3), now);
    acting.set_document(&world.force);
    let shares = after(&mut acting, &mut now, true, &[], &asked(150.0));
    assert!((part(&shares, 2) - world.part(0, 1)).abs() < 1e-9, "{shares:?}");
}

#[test]
fn out_of_touch_all_together_stay_within_the_room() {
    let mut world = World::new();
    world.zones[1].demand = 700.0;
    world.run(10.0);
    let (document, spare) = (world.force.clone(), world.force.plan.spare.clone());
    assert!(document.plan.rows.is_empty() && spare[1] > 100.0);
    // a's upstreams go after the last plan, and all of its three balancers are out of touch, as are c's and d's.
    let (mut into, mut rejected) = ([0.0; 4], 0.0);
    for zone in [0u16, 2, 3] {
        for _ in 0..3 {
            let mut now = Duration::ZERO;
            let mut acting = BalancerRouting::new(topology(), near(), Zone(zone), now);
            acting.set_document(&document);
            acting.set_balancer_count(12);
            let rate = 470.0 / 3.0;
            let shares = after(
                &mut acting,
                &mut now,
                false,
                &observations([0.0, 1000.0, 1000.0, 1000.0]),
                &asked(rate),
            );
            assert!(!acting.routing().uses_shared_plan);
            let sum: f64 = shares.to.iter().map(|(_, part)| part).sum();
            assert!((sum + shares.rejected - 1.0).abs() < 1e-9, "{shares:?}");
            for zone in 0..4 {
                into[usize::from(zone)] += part(&shares, zone) * f64::from(rate);
            }
            rejected += shares.rejected * f64::from(rate);
        }
    }
    assert_eq!(into[0], 0.0);
    // A fourth zone's part is left for whoever else may need it: b lends nothing to its own.
    let part = f64::from(spare[1]) / 3.0;
    assert!(into[1] > 0.9 * part && into[1] <= part + 1e-3, "{into:?} {spare:?}");
    for zone in 1..4 {
        let planned = if zone == 1 { 700.0 } else { 0.0 };
        assert!(into[zone] + planned <= 1000.0, "{into:?}");
    }
    assert!(rejected > 0.0, "what is not spare is not sent");
}

#[test]
fn a_zone_that_is_lost_while_nobody_leads_is_served_by_what_the_others_lend() {
    let mut world = World::new();
    world.run(10.0);
    let mut served = 0.0;
    let mut into = [0.0; 4];
    for _ in 0..3 {
        let mut now = Duration::ZERO;
        let mut acting = BalancerRouting::new(topology(), near(), Zone(0), now);
        acting.set_document(&world.force);
        acting.set_balancer_count(12);
        let (rate, seen) = (470.0 / 3.0, observations([0.0, 1000.0, 1000.0, 1000.0]));
        let shares = after(&mut acting, &mut now, false, &seen, &asked(rate));
        served += (1.0 - shares.rejected) * f64::from(rate);
        for zone in 0..4 {
            into[usize::from(zone)] += part(&shares, zone) * f64::from(rate);
        }
    }
    assert!(served > 0.999 * 470.0 && into[1] >= into[3], "{served} {into:?}");
    // All that is lent is lent once: to each zone, by three balancers of each other one.
    let plan = &world.force.plan;
    for to in 0..4 {
        let all: f64 = (0..4).map(|from| 3.0 * plan.spare_rate(4, Zone(from), to, 12)).sum();
        assert!((all - f64::from(plan.spare[to])).abs() < 0.01, "{all} of {plan:?}");
    }
}

/// What a drawn balancer sees: its zone, and of each zone whether it is there.
fn seen() -> impl Strategy<Value = (u16, [bool; 4])> {
    (0u16..4, any::<[bool; 4]>())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(36), ..ProptestConfig::default()
    })]

    /// Whatever each of them sees, wherever the plan before had sent them, with whatever they are asked for by now.
    #[test]
    fn no_sides_that_can_form_send_a_zone_more_than_it_lends(
        demand in prop::collection::vec(0.0..900.0f64, 4),
        balancer_counts in prop::collection::vec(1usize..4, 4),
        lost in prop::option::of(0usize..4),
        views in prop::collection::vec(seen(), 12),
        asked_now in prop::collection::vec(0.0..2000.0f32, 12),
        by_name in any::<bool>(),
    ) {
        let mut world = World::new();
        for (zone, demand) in demand.iter().enumerate() {
            world.zones[zone].demand = *demand;
        }
        let most = *balancer_counts.iter().max().unwrap();
        world.per_zone = most;
        let all: Vec<(String, Zone)> = (0..4)
            .flat_map(|zone| (0..balancer_counts[zone]).map(move |n| (format!("{zone}-{n}"), Zone(zone as u16))))
            .collect();
        world.decider.set_members(&all, 0);
        world.run(7.0);
        if let Some(lost) = lost {
            world.zones[lost].up = 0.0;
            world.run(7.0);
        }
        let document = world.force.clone();
        let mut beside = [0.0; 4];
        let mut left = balancer_counts.clone();
        for ((zone, seen), rate) in views.iter().zip(asked_now) {
            // No more balancers of a zone than there are.
            if left[usize::from(*zone)] == 0 {
                continue;
            }
            left[usize::from(*zone)] -= 1;
            let other = Topology::new([("south", vec!["d", "c"]), ("north", vec!["b", "a"])]).unwrap();
            let topology = if by_name { other } else { topology() };
            let at = |zone: u16| if by_name { 3 - zone } else { zone };
            let mut now = Duration::ZERO;
            let mut acting = BalancerRouting::new(topology, near(), Zone(at(*zone)), now);
            acting.set_document(&document);
            acting.set_balancer_count(all.len());
            let usable = |well: bool| if well { 1000.0 } else { 0.0 };
            let mut observations: Vec<ZoneObservation> = (0..4).map(|zone| sight(at(zone), usable(seen[usize::from(zone)]))).collect();
            observations.sort_by_key(|sight| sight.zone);
            let planned = after(&mut acting, &mut now, true, &observations, &asked(rate));
            let shares = after(&mut acting, &mut now, false, &observations, &asked(rate));
            let sum: f64 = shares.to.iter().map(|(_, part)| part).sum();
            prop_assert!((sum + shares.rejected - 1.0).abs() < 1e-9, "{:?}", shares);
            for zone in 0..4 {
                let more = part(&shares, at(zone)) - part(&planned, at(zone));
                beside[usize::from(zone)] += more.max(0.0) * f64::from(rate);
            }
        }
        let spare = document.plan.spare_section(0, 4);
        for zone in 0..4 {
            prop_assert!(beside[zone] <= f64::from(spare[zone]) + 0.01, "{:?} of {:?}", beside, document.plan);
        }
    }
}

#[test]
fn what_the_last_plan_called_lost_is_used_only_when_nothing_else_is_left() {
    let mut world = World::new();
    world.run(10.0);
    world.zones[1].up = 0.0;
    world.run(6.0);
    let mut document = world.force.clone();
    document.plan.spare = vec![400.0; 4];
    let (mut now, demand) = (Duration::ZERO, asked(1.0));
    let mut acting = BalancerRouting::new(topology(), near(), Zone(0), now);
    acting.set_document(&document);
    // It sees b well, and its own lost.
    let shares = after(&mut acting, &mut now, false, &observations([0.0, 1000.0, 1000.0, 1000.0]), &demand);
    assert!(part(&shares, 1) == 0.0 && part(&shares, 2) > 0.9, "{shares:?}");
    let shares = after(&mut acting, &mut now, false, &observations([0.0, 1000.0, 0.0, 0.0]), &demand);
    assert!(part(&shares, 1) > 0.9, "{shares:?}");
    // Who sees nothing at all keeps to what it has.
    let mut acting = BalancerRouting::new(topology(), near(), Zone(0), now);
    acting.set_document(&document);
    let shares = after(&mut acting, &mut now, false, &observations([0.0; 4]), &demand);
    assert_eq!(part(&shares, 0), 1.0);
}

#[test]
fn without_any_plan_it_is_near_and_a_cautious_part_moves() {
    let mut now = Duration::ZERO;
    let mut acting = BalancerRouting::new(topology(), near(), Zone(0), now);
    acting.set_balancer_count(4);
    let well = observations([1000.0; 4]);
    let shares = after(&mut acting, &mut now, true, &well, &asked(200.0));
    assert_eq!((part(&shares, 0), acting.routing().uses_shared_plan), (1.0, false));
    let shares =
        after(&mut acting, &mut now, false, &observations([0.0, 1000.0, 1000.0, 1000.0]), &asked(200.0));
    let each = 0.2 * 1000.0 / 4.0 / 200.0;
    assert!((1..4).all(|zone| (part(&shares, zone) - each).abs() < 1e-9), "{shares:?}");
    // One glitch of half a second moves nothing.
    let mut acting = BalancerRouting::new(topology(), near(), Zone(0), now);
    for usable in [1000.0, 0.0, 0.0, 1000.0] {
        now += STEP;
        acting.tick(now, false, &observations([usable, 1000.0, 1000.0, 1000.0]), &asked(200.0));
        assert_eq!(part(&acting.routing().rules[0], 0), 1.0);
    }
}

#[test]
fn rules_hold_for_whoever_is_alone() {
    let mut now = Duration::ZERO;
    let mut rule = Rule::near_first();
    rule.never = vec![Zone(1)];
    rule.beyond_region_most = 0.1;
    let rules = Rules::new(vec![rule], 1, 1, |_, _| 0);
    let mut acting = BalancerRouting::new(topology(), rules, Zone(0), now);
    let shares =
        after(&mut acting, &mut now, false, &observations([0.0, 1000.0, 1000.0, 1000.0]), &asked(1.0));
    assert!(part(&shares, 1) == 0.0, "{shares:?}");
    assert!((part(&shares, 2) + part(&shares, 3) - 0.1).abs() < 1e-9, "{shares:?}");
    assert!((shares.rejected - 0.9).abs() < 1e-9);
}

//! Routing of one balancer: with the lease, without the lease, and before any plan was received.

use crate::simulation::{Simulation, topology};
use maplehook_failover::{BalancerRouting, Demand, Shares, ZoneObservation};
use maplehook_locality::{Rule, Rules, Topology, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(250);

fn near_first_rules() -> Rules {
    Rules::near_first(1, 1)
}

fn zone_observation(zone: u16, usable: f32) -> ZoneObservation {
    ZoneObservation { zone: Zone(zone), stated: true, listed: 1000.0, usable, ..ZoneObservation::default() }
}

fn observations(usable: [f32; 4]) -> Vec<ZoneObservation> {
    usable.iter().enumerate().map(|(zone, usable)| zone_observation(zone as u16, *usable)).collect()
}

fn demand_at(rate: f32) -> Vec<Demand> {
    vec![Demand { rule: 0, asked: rate, rejected: 0.0 }]
}

/// Returns the shares of the only rule after two seconds with constant observations and demand.
fn shares_after_two_seconds(
    balancer: &mut BalancerRouting,
    now: &mut Duration,
    has_lease: bool,
    observations: &[ZoneObservation],
    demand: &[Demand],
) -> Shares {
    for _ in 0..8 {
        *now += TICK_INTERVAL;
        balancer.tick(*now, has_lease, observations, demand);
    }
    balancer.routing().rules[0].clone()
}

fn share_to(shares: &Shares, zone: u16) -> f64 {
    shares.to.iter().find(|(z, _)| *z == Zone(zone)).map_or(0.0, |(_, share)| *share)
}

#[test]
fn with_the_lease_the_plan_applies_regardless_of_observations() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[0].usable_share = 0.0;
    sim.run(6.0);
    let mut now = Duration::ZERO;
    let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(0), now);
    balancer.set_document(&sim.document);
    let shares = shares_after_two_seconds(
        &mut balancer,
        &mut now,
        true,
        &observations([1000.0, 0.0, 0.0, 0.0]),
        &demand_at(150.0),
    );
    assert!(
        (share_to(&shares, 1) - sim.share(0, 1)).abs() < 1e-9 && share_to(&shares, 0) == 0.0,
        "shares differ from the plan: {shares:?}"
    );
    assert!(balancer.routing().uses_shared_plan && balancer.routing().epoch == sim.document.plan.epoch);
    // A balancer whose topology has another zone order maps the plan by zone names.
    let reordered = Topology::new([("south", vec!["d", "c"]), ("north", vec!["b", "a"])]).unwrap();
    let mut balancer = BalancerRouting::new(reordered, near_first_rules(), Zone(3), now);
    balancer.set_document(&sim.document);
    let shares = shares_after_two_seconds(&mut balancer, &mut now, true, &[], &demand_at(150.0));
    assert!((share_to(&shares, 2) - sim.share(0, 1)).abs() < 1e-9, "shares differ from the plan: {shares:?}");
}

#[test]
fn disconnected_balancers_together_stay_within_the_spare_capacity() {
    let mut sim = Simulation::new();
    sim.zones[1].demand = 700.0;
    sim.run(10.0);
    let (document, spare) = (sim.document.clone(), sim.document.plan.spare.clone());
    assert!(document.plan.rows.is_empty() && spare[1] > 100.0);
    // The upstreams of zone a fail after the last plan. All balancers of zones a, c and d are disconnected.
    let (mut rates_into, mut rejected) = ([0.0; 4], 0.0);
    for zone in [0u16, 2, 3] {
        for _ in 0..3 {
            let mut now = Duration::ZERO;
            let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(zone), now);
            balancer.set_document(&document);
            balancer.set_balancer_count(12);
            let rate = 470.0 / 3.0;
            let shares = shares_after_two_seconds(
                &mut balancer,
                &mut now,
                false,
                &observations([0.0, 1000.0, 1000.0, 1000.0]),
                &demand_at(rate),
            );
            assert!(!balancer.routing().uses_shared_plan);
            let total_share: f64 = shares.to.iter().map(|(_, share)| share).sum();
            assert!(
                (total_share + shares.rejected - 1.0).abs() < 1e-9,
                "shares must add up to 1: {shares:?}"
            );
            for zone in 0..4 {
                rates_into[usize::from(zone)] += share_to(&shares, zone) * f64::from(rate);
            }
            rejected += shares.rejected * f64::from(rate);
        }
    }
    assert_eq!(rates_into[0], 0.0);
    // Zones a, c and d may each use a third of b's spare capacity. The thirds of c and d stay unused.
    let third = f64::from(spare[1]) / 3.0;
    assert!(
        rates_into[1] > 0.9 * third && rates_into[1] <= third + 1e-3,
        "rates into the zones {rates_into:?}, spare capacities {spare:?}"
    );
    for zone in 1..4 {
        let planned = if zone == 1 { 700.0 } else { 0.0 };
        assert!(
            rates_into[zone] + planned <= 1000.0,
            "zone {zone} exceeds its capacity, rates into the zones: {rates_into:?}"
        );
    }
    assert!(rejected > 0.0, "demand beyond the spare capacity must be rejected");
}

#[test]
fn zone_that_fails_without_a_leader_uses_the_spare_capacity_of_other_zones() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    let mut served = 0.0;
    let mut rates_into = [0.0; 4];
    for _ in 0..3 {
        let mut now = Duration::ZERO;
        let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(0), now);
        balancer.set_document(&sim.document);
        balancer.set_balancer_count(12);
        let (rate, observed) = (470.0 / 3.0, observations([0.0, 1000.0, 1000.0, 1000.0]));
        let shares = shares_after_two_seconds(&mut balancer, &mut now, false, &observed, &demand_at(rate));
        served += (1.0 - shares.rejected) * f64::from(rate);
        for zone in 0..4 {
            rates_into[usize::from(zone)] += share_to(&shares, zone) * f64::from(rate);
        }
    }
    assert!(
        served > 0.999 * 470.0 && rates_into[1] >= rates_into[3],
        "served rate {served}, rates into the zones {rates_into:?}"
    );
    // The rates that all balancers may send to a zone add up to the zone's spare capacity.
    let plan = &sim.document.plan;
    for to in 0..4 {
        let total: f64 = (0..4).map(|from| 3.0 * plan.spare_rate(4, Zone(from), to, 12)).sum();
        assert!(
            (total - f64::from(plan.spare[to])).abs() < 0.01,
            "balancers may send {total} to zone {to}: {plan:?}"
        );
    }
}

/// Generates the zone of a balancer and, for each zone, whether the balancer observes it as usable.
fn any_view() -> impl Strategy<Value = (u16, [bool; 4])> {
    (0u16..4, any::<[bool; 4]>())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(36), ..ProptestConfig::default()
    })]

    /// Disconnected balancers together stay within the spare capacity of each zone for any observations, any
    /// previous plan and any change of demand.
    #[test]
    fn no_set_of_disconnected_balancers_exceeds_the_spare_capacity(
        demand in prop::collection::vec(0.0..900.0f64, 4),
        balancer_counts in prop::collection::vec(1usize..4, 4),
        failed_zone in prop::option::of(0usize..4),
        views in prop::collection::vec(any_view(), 12),
        rates in prop::collection::vec(0.0..2000.0f32, 12),
        has_reordered_zones in any::<bool>(),
    ) {
        let mut sim = Simulation::new();
        for (zone, demand) in demand.iter().enumerate() {
            sim.zones[zone].demand = *demand;
        }
        let max_count = *balancer_counts.iter().max().unwrap();
        sim.balancers_per_zone = max_count;
        let members: Vec<(String, Zone)> = (0..4)
            .flat_map(|zone| (0..balancer_counts[zone])
                .map(move |n| (format!("{zone}-{n}"), Zone(zone as u16))))
            .collect();
        sim.decider.set_members(&members, 0);
        sim.run(7.0);
        if let Some(failed_zone) = failed_zone {
            sim.zones[failed_zone].usable_share = 0.0;
            sim.run(7.0);
        }
        let document = sim.document.clone();
        let mut extra_rates = [0.0; 4];
        let mut remaining = balancer_counts.clone();
        for ((zone, observed), rate) in views.iter().zip(rates) {
            // A zone without further balancers ignores its remaining views.
            if remaining[usize::from(*zone)] == 0 {
                continue;
            }
            remaining[usize::from(*zone)] -= 1;
            let reordered = Topology::new([("south", vec!["d", "c"]), ("north", vec!["b", "a"])]).unwrap();
            let topology = if has_reordered_zones { reordered } else { topology() };
            let index = |zone: u16| if has_reordered_zones { 3 - zone } else { zone };
            let mut now = Duration::ZERO;
            let mut balancer = BalancerRouting::new(topology, near_first_rules(), Zone(index(*zone)), now);
            balancer.set_document(&document);
            balancer.set_balancer_count(members.len());
            let capacity = |is_usable: bool| if is_usable { 1000.0 } else { 0.0 };
            let mut observations: Vec<ZoneObservation> = (0..4)
                .map(|zone| zone_observation(index(zone), capacity(observed[usize::from(zone)])))
                .collect();
            observations.sort_by_key(|observation| observation.zone);
            let planned =
                shares_after_two_seconds(&mut balancer, &mut now, true, &observations, &demand_at(rate));
            let shares =
                shares_after_two_seconds(&mut balancer, &mut now, false, &observations, &demand_at(rate));
            let total_share: f64 = shares.to.iter().map(|(_, share)| share).sum();
            prop_assert!(
                (total_share + shares.rejected - 1.0).abs() < 1e-9,
                "shares must add up to 1: {:?}", shares
            );
            for zone in 0..4 {
                let extra_share = share_to(&shares, index(zone)) - share_to(&planned, index(zone));
                extra_rates[usize::from(zone)] += extra_share.max(0.0) * f64::from(rate);
            }
        }
        let spare = document.plan.spare_section(0, 4);
        for zone in 0..4 {
            prop_assert!(
                extra_rates[zone] <= f64::from(spare[zone]) + 0.01,
                "extra rates {:?} exceed the spare capacity of {:?}", extra_rates, document.plan
            );
        }
    }
}

#[test]
fn zone_that_was_unreachable_in_the_last_plan_is_used_only_as_a_last_resort() {
    let mut sim = Simulation::new();
    sim.run(10.0);
    sim.zones[1].usable_share = 0.0;
    sim.run(6.0);
    let mut document = sim.document.clone();
    document.plan.spare = vec![400.0; 4];
    let (mut now, demand) = (Duration::ZERO, demand_at(1.0));
    let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(0), now);
    balancer.set_document(&document);
    // The balancer observes zone b as usable and its own zone a as unusable.
    let shares = shares_after_two_seconds(
        &mut balancer,
        &mut now,
        false,
        &observations([0.0, 1000.0, 1000.0, 1000.0]),
        &demand,
    );
    assert!(
        share_to(&shares, 1) == 0.0 && share_to(&shares, 2) > 0.9,
        "traffic must go to zone c, not b: {shares:?}"
    );
    let shares = shares_after_two_seconds(
        &mut balancer,
        &mut now,
        false,
        &observations([0.0, 1000.0, 0.0, 0.0]),
        &demand,
    );
    assert!(share_to(&shares, 1) > 0.9, "traffic must go to zone b: {shares:?}");
    // A balancer that observes no zone as usable keeps its traffic in its own zone.
    let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(0), now);
    balancer.set_document(&document);
    let shares = shares_after_two_seconds(&mut balancer, &mut now, false, &observations([0.0; 4]), &demand);
    assert_eq!(share_to(&shares, 0), 1.0);
}

#[test]
fn without_a_plan_at_most_a_cautious_share_leaves_the_own_zone() {
    let mut now = Duration::ZERO;
    let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(0), now);
    balancer.set_balancer_count(4);
    let all_usable = observations([1000.0; 4]);
    let shares = shares_after_two_seconds(&mut balancer, &mut now, true, &all_usable, &demand_at(200.0));
    assert_eq!((share_to(&shares, 0), balancer.routing().uses_shared_plan), (1.0, false));
    let shares = shares_after_two_seconds(
        &mut balancer,
        &mut now,
        false,
        &observations([0.0, 1000.0, 1000.0, 1000.0]),
        &demand_at(200.0),
    );
    let expected_share = 0.2 * 1000.0 / 4.0 / 200.0;
    assert!(
        (1..4).all(|zone| (share_to(&shares, zone) - expected_share).abs() < 1e-9),
        "expected {expected_share} for each other zone: {shares:?}"
    );
    // An outage of half a second moves no traffic.
    let mut balancer = BalancerRouting::new(topology(), near_first_rules(), Zone(0), now);
    for usable in [1000.0, 0.0, 0.0, 1000.0] {
        now += TICK_INTERVAL;
        balancer.tick(now, false, &observations([usable, 1000.0, 1000.0, 1000.0]), &demand_at(200.0));
        assert_eq!(share_to(&balancer.routing().rules[0], 0), 1.0);
    }
}

#[test]
fn rules_apply_without_the_lease() {
    let mut now = Duration::ZERO;
    let mut rule = Rule::near_first();
    rule.never = vec![Zone(1)];
    rule.beyond_region_most = 0.1;
    let rules = Rules::new(vec![rule], 1, 1, |_, _| 0);
    let mut balancer = BalancerRouting::new(topology(), rules, Zone(0), now);
    let shares = shares_after_two_seconds(
        &mut balancer,
        &mut now,
        false,
        &observations([0.0, 1000.0, 1000.0, 1000.0]),
        &demand_at(1.0),
    );
    assert!(share_to(&shares, 1) == 0.0, "the rule excludes zone b: {shares:?}");
    assert!(
        (share_to(&shares, 2) + share_to(&shares, 3) - 0.1).abs() < 1e-9,
        "a tenth may leave the region: {shares:?}"
    );
    assert!((shares.rejected - 0.9).abs() < 1e-9);
}

//! Balancers with little traffic use a subset of the upstreams. The subsets of all balancers together spread
//! the load evenly over all upstreams.

mod common;
use common::*;
use maplehook_core::*;
use std::collections::{BTreeMap, BTreeSet};

const BALANCERS: u32 = 240;

fn settings(index: u32) -> Settings {
    Settings {
        balancers: BALANCERS,
        index,
        classes: vec![class(400, 1000, Effect::Idempotent)],
        tenants: vec![Tenant { allowance_per_s: 480.0 }],
        ..Settings::default()
    }
}

fn run_and_collect_upstreams(harness: &mut Harness, requests: usize) -> BTreeSet<UpstreamId> {
    harness.attempts.clear();
    harness.run_traffic(requests, ms(500), |_| Some(Outcome::Ok));
    harness.attempts.values().flatten().map(|s| s.1).collect()
}

/// Upstreams run out of connections if every balancer connects to each of them. Here, 240 balancers send two
/// requests per second each.
#[test]
fn subsets_are_small_at_little_traffic_and_cover_all_upstreams_evenly() {
    let fleet: Vec<_> = (1..=48).map(|id| endpoint(id * 7919)).collect();
    let mut balancers_by_upstream: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for index in 0..BALANCERS {
        let subset = run_and_collect_upstreams(&mut Harness::new(settings(index), &fleet), 60);
        assert!((2..=10).contains(&subset.len()), "a balancer uses {} upstreams", subset.len());
        subset.into_iter().for_each(|u| *balancers_by_upstream.entry(u).or_default() += 1);
    }
    let (fewest, most) =
        (balancers_by_upstream.values().min().unwrap(), balancers_by_upstream.values().max().unwrap());
    assert_eq!(balancers_by_upstream.len(), fleet.len(), "every upstream is used");
    assert!(*most * 2 <= *fewest * 3, "each upstream is used by {fewest} to {most} balancers");
}

#[test]
fn small_fleets_and_busy_balancers_use_every_upstream() {
    let mut few_upstreams = Harness::new(settings(5), &(1..=2).map(endpoint).collect::<Vec<_>>());
    assert_eq!(run_and_collect_upstreams(&mut few_upstreams, 100).len(), 2);
    let busy_balancer = Settings { balancers: 4, ..settings(3) };
    let mut busy_balancer = Harness::new(busy_balancer, &(1..=60).map(endpoint).collect::<Vec<_>>());
    assert_eq!(run_and_collect_upstreams(&mut busy_balancer, 300).len(), 60);
}

/// The removal of upstreams outside a subset must not change the subset. Upstreams that are removed from
/// within the subset must be replaced.
#[test]
fn a_subset_is_stable_and_replaces_removed_upstreams() {
    let fleet: Vec<_> = (1..=48).map(|id| endpoint(id * 7919)).collect();
    let mut harness = Harness::new(settings(17), &fleet);
    let before = run_and_collect_upstreams(&mut harness, 60);
    let removed = |id: UpstreamId| Endpoint { availability: Availability::Removed, ..endpoint(id.0) };
    let (subset, others): (Vec<_>, Vec<_>) = fleet.iter().map(|l| l.id).partition(|id| before.contains(id));
    for id in others.iter().take(20) {
        harness.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[removed(*id)] });
        harness.advance(ms(50));
    }
    assert_eq!(
        run_and_collect_upstreams(&mut harness, 60),
        before,
        "removing upstreams outside the subset does not change the subset"
    );
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Changes,
        endpoints: &[removed(subset[0]), removed(subset[1])],
    });
    let after = run_and_collect_upstreams(&mut harness, 60);
    assert_eq!(after.len(), before.len());
    assert_eq!(after.intersection(&before).count(), before.len() - 2);
}

/// Without tenant allowances, a single balancer must still use every upstream, however little traffic it has.
#[test]
fn a_single_balancer_uses_every_upstream() {
    let single = Settings { balancers: 1, index: 0, tenants: Vec::new(), ..settings(0) };
    let mut single = Harness::new(single, &(1..=40).map(endpoint).collect::<Vec<_>>());
    assert_eq!(run_and_collect_upstreams(&mut single, 200).len(), 40);
}

//! Thin traffic keeps to a subset; together the balancers load every upstream alike.

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

fn used(bench: &mut Bench, requests: usize) -> BTreeSet<UpstreamId> {
    bench.sent.clear();
    bench.traffic(requests, ms(500), |_| Some(Outcome::Ok));
    bench.sent.values().flatten().map(|s| s.1).collect()
}

/// Guards against upstreams that run out of connections: 240 balancers, two requests a second each.
#[test]
fn a_thin_balancer_uses_few_and_all_together_use_all_alike() {
    let fleet: Vec<_> = (1..=48).map(|id| listed(id * 7919)).collect();
    let mut users: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for index in 0..BALANCERS {
        let own = used(&mut Bench::new(settings(index), &fleet), 60);
        assert!((2..=10).contains(&own.len()), "{} upstreams used by one", own.len());
        own.into_iter().for_each(|u| *users.entry(u).or_default() += 1);
    }
    let (least, most) = (users.values().min().unwrap(), users.values().max().unwrap());
    assert_eq!(users.len(), fleet.len(), "every upstream is used");
    assert!(*most * 2 <= *least * 3, "used by {least} to {most} balancers");
}

#[test]
fn a_small_fleet_and_a_busy_balancer_use_all() {
    let mut few = Bench::new(settings(5), &(1..=2).map(listed).collect::<Vec<_>>());
    assert_eq!(used(&mut few, 100).len(), 2);
    let busy = Settings { balancers: 4, ..settings(3) };
    let mut busy = Bench::new(busy, &(1..=60).map(listed).collect::<Vec<_>>());
    assert_eq!(used(&mut busy, 300).len(), 60);
}

/// The subset outlives changes elsewhere; one lost is replaced, and those that left the list are forgotten.
#[test]
fn a_subset_is_stable_and_refilled() {
    let fleet: Vec<_> = (1..=48).map(|id| listed(id * 7919)).collect();
    let mut bench = Bench::new(settings(17), &fleet);
    let before = used(&mut bench, 60);
    let gone = |id: UpstreamId| Endpoint { availability: Availability::Removed, ..listed(id.0) };
    let (own, other): (Vec<_>, Vec<_>) = fleet.iter().map(|l| l.id).partition(|id| before.contains(id));
    for id in other.iter().take(20) {
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[gone(*id)] });
        bench.run(ms(50));
    }
    assert_eq!(used(&mut bench, 60), before, "what happens elsewhere moves nothing");
    bench.tell(Event::EndpointUpdate {
        scope: UpdateScope::Changes,
        endpoints: &[gone(own[0]), gone(own[1])],
    });
    let after = used(&mut bench, 60);
    assert_eq!(after.len(), before.len());
    assert_eq!(after.intersection(&before).count(), before.len() - 2);
}

/// Without stated allowances one balancer alone still takes all, whatever it sees.
#[test]
fn a_balancer_alone_uses_all() {
    let alone = Settings { balancers: 1, index: 0, tenants: Vec::new(), ..settings(0) };
    let mut alone = Bench::new(alone, &(1..=40).map(listed).collect::<Vec<_>>());
    assert_eq!(used(&mut alone, 200).len(), 40);
}

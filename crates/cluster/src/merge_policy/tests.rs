use super::*;
use proptest::prelude::*;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn drain(upstream: u64, until: u64, boot_ms: u64) -> GossipedEndpoint {
    GossipedEndpoint { upstream, drained_until: Some((s(until), boot_ms)), boot_ms }
}

fn ready(boot_ms: u64) -> Option<LocalEndpoint> {
    Some(LocalEndpoint { is_ready: true, boot_ms })
}

#[test]
fn gossip_drain_lasts_until_local_source_is_read_after_expiry() {
    let mut policy = MergePolicy::new(1.0);
    policy.update_local(true, [(1, ready(0)), (2, ready(0))]);
    policy.merge_gossip(&[drain(1, 15, 0)], 9);
    policy.take_changes();
    assert!(policy.published(1).unwrap().is_draining && !policy.published(2).unwrap().is_draining);
    policy.confirm_local(s(14));
    policy.take_changes();
    assert!(policy.published(1).unwrap().is_draining, "its announcement is still valid");
    policy.merge_gossip(&[], 9);
    policy.take_changes();
    assert!(
        policy.published(1).unwrap().is_draining,
        "nobody announces it any more, and the local source was not read since"
    );
    policy.confirm_local(s(16));
    assert_eq!(policy.take_changes(), [(1, Some(MergedEndpoint { is_draining: false, boot_ms: 0 }))]);
}

#[test]
fn local_drain_needs_no_gossip() {
    let mut policy = MergePolicy::new(1.0);
    policy.update_local(true, [(1, Some(LocalEndpoint { is_ready: false, boot_ms: 3 }))]);
    policy.confirm_local(s(99));
    assert_eq!(policy.take_changes(), [(1, Some(MergedEndpoint { is_draining: true, boot_ms: 3 }))]);
    policy.update_local(false, [(1, None)]);
    assert_eq!(policy.take_changes(), [(1, None)]);
}

#[test]
fn later_start_does_not_drain_and_counts_for_slow_start() {
    let mut policy = MergePolicy::new(1.0);
    policy.update_local(true, [(1, ready(100)), (2, ready(100))]);
    policy.merge_gossip(
        &[drain(1, 15, 100), GossipedEndpoint { upstream: 2, drained_until: None, boot_ms: 200 }],
        300,
    );
    policy.take_changes();
    assert_eq!(
        policy.published(2),
        Some(MergedEndpoint { is_draining: false, boot_ms: 200 }),
        "slow start counts from then on"
    );
    assert!(policy.published(1).unwrap().is_draining);
    policy.update_local(false, [(1, ready(250))]);
    assert_eq!(policy.take_changes(), [(1, Some(MergedEndpoint { is_draining: false, boot_ms: 250 }))]);
    policy.merge_gossip(&[GossipedEndpoint { upstream: 2, drained_until: None, boot_ms: 301 }], 300);
    assert!(policy.take_changes().is_empty(), "a start in the future is not believed");
}

#[test]
fn gossip_drains_stay_within_their_share() {
    let mut policy = MergePolicy::new(0.5);
    policy.update_local(true, (0..4).map(|n| (n, ready(0))));
    let all: Vec<GossipedEndpoint> = [3, 1, 0, 2].iter().map(|n| drain(*n, 15, 0)).collect();
    for endpoint in &all {
        policy.merge_gossip(&[*endpoint], 0);
    }
    policy.take_changes();
    let drained: Vec<u64> = (0..4).filter(|n| policy.published(*n).unwrap().is_draining).collect();
    assert_eq!(drained, [1, 3], "the earliest announced");
    assert_eq!(policy.gossip_drain_counts(), GossipDrainCounts { known: 4, suppressed: 2 });
    // What the local list drains makes no room for gossip drains.
    policy.update_local(false, [(3, Some(LocalEndpoint { is_ready: false, boot_ms: 0 }))]);
    policy.take_changes();
    assert!((0..4).filter(|n| policy.published(*n).unwrap().is_draining).count() == 2);
}

proptest! {
    /// Whatever is announced, a balancer is never less careful than by its local list.
    #[test]
    fn never_less_careful_than_alone(
        local in prop::collection::vec((0u64..6, any::<bool>(), 0u64..5), 0..8),
        announced in prop::collection::vec((0u64..6, prop::option::of((0u64..30, 0u64..5)), 0u64..9), 0..20),
        read in prop::collection::vec(0u64..40, 0..4),
        share in 0.0f64..=1.0,
    ) {
        let mut policy = MergePolicy::new(share);
        policy.update_local(true, local.iter().map(|(u, ready, boot)| (*u, Some(LocalEndpoint { is_ready: *ready, boot_ms: *boot }))));
        let endpoints: Vec<GossipedEndpoint> = announced.iter().map(|(upstream, drained, boot_ms)| GossipedEndpoint {
            upstream: *upstream,
            drained_until: drained.map(|(until, boot)| (s(until), boot)),
            boot_ms: *boot_ms,
        }).collect();
        policy.merge_gossip(&endpoints, 7);
        read.iter().for_each(|at| policy.confirm_local(s(*at)));
        policy.take_changes();
        let listed: BTreeMap<u64, (bool, u64)> = local.iter().map(|(u, r, b)| (*u, (*r, *b))).collect();
        for (upstream, (ready, boot)) in &listed {
            let merged = policy.published(*upstream).unwrap();
            prop_assert!(merged.is_draining || *ready);
            prop_assert!(merged.boot_ms >= *boot);
        }
        let by_gossip = listed.iter().filter(|(u, (ready, _))| *ready && policy.published(**u).unwrap().is_draining);
        let ready = listed.values().filter(|(ready, _)| *ready).count();
        prop_assert!(by_gossip.count() as f64 <= share * ready as f64 + 1e-6);
    }
}

//! Traffic splits by group of requests: selection of zones, rejection of requests, and zones of retries.

mod common;

use common::{Harness, class, endpoint, ms};
use maplehook_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn zone_of(id: UpstreamId) -> u8 {
    (id.0 / 100) as u8
}

/// Returns `upstreams_per_zone` upstreams in each zone; an id divided by 100 is its zone.
fn fleet(zones: &[u8], upstreams_per_zone: u64) -> Vec<Endpoint> {
    let ids = zones.iter().flat_map(|z| (0..upstreams_per_zone).map(move |n| u64::from(*z) * 100 + n));
    ids.map(|id| Endpoint { zone: ZoneId((id / 100) as u8), ..endpoint(id) }).collect()
}

/// Returns settings whose allowances are far above the request rates of the tests.
fn settings() -> Settings {
    Settings {
        zone: ZoneId(1),
        classes: vec![class(200, 1000, Effect::Idempotent), class(200, 1000, Effect::Idempotent)],
        tenants: vec![Tenant { allowance_per_s: 1e5 }, Tenant { allowance_per_s: 1e5 }],
        ..Settings::default()
    }
}

/// Returns a row of a traffic split, in a region that consists of zones 1 and 2.
fn row(zone_shares: &[(u8, f64)]) -> GroupSplit {
    GroupSplit {
        zone_shares: zone_shares.iter().map(|(z, s)| (ZoneId(*z), *s)).collect(),
        region: vec![ZoneId(1), ZoneId(2)],
        forbidden: Vec::new(),
        max_cross_region: 1.0,
    }
}

fn split_of(row: GroupSplit) -> TrafficSplit {
    TrafficSplit { groups: vec![0], tenants: 1, rows: vec![row] }
}

fn new_harness(settings: Settings, fleet: &[Endpoint], split: &TrafficSplit) -> Harness {
    let mut harness = Harness::new(settings, fleet);
    harness.handle(Event::TrafficSplit { split: Some(split) });
    harness
}

/// Sends `count` requests and returns the number of first attempts by zone. Attempts in `unreachable_zones`
/// fail to connect, and all others succeed at once.
fn send_and_count(
    harness: &mut Harness,
    class: u16,
    tenant: u32,
    count: u32,
    unreachable_zones: &[u8],
) -> BTreeMap<u8, u32> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let id = harness.send_request(class, tenant, ms(1000));
        if let Some(first) = harness.upstream_of(id, 0) {
            *counts.entry(zone_of(first)).or_default() += 1;
        }
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            let is_unreachable = unreachable_zones.contains(&zone_of(upstream));
            harness.end_attempt(
                id,
                attempt,
                if is_unreachable { Outcome::ConnectFailed } else { Outcome::Ok },
            );
            attempt += 1;
        }
        harness.advance(ms(1));
    }
    counts
}

#[test]
fn requests_follow_the_zone_shares_and_unassigned_requests_are_rejected() {
    let mut harness = new_harness(settings(), &fleet(&[1, 2, 3], 3), &split_of(row(&[(1, 0.5), (3, 0.3)])));
    let counts = send_and_count(&mut harness, 0, 0, 10_000, &[]);
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert!(counts[&1].abs_diff(5000) <= 2 && counts[&3].abs_diff(3000) <= 2, "{counts:?}");
    let rejected = harness.results.values().filter(|a| **a == "rejected").count();
    assert!(rejected.abs_diff(2000) <= 2, "{rejected} requests were rejected");
    assert_eq!(
        harness.balancer.group_observations(),
        [GroupObservation { requests: 10_000, rejected: rejected as u64 }]
    );
}

#[test]
fn each_group_uses_its_row_and_unknown_tenants_the_last_row() {
    let split = TrafficSplit {
        groups: vec![0, 1, 9, 0],
        tenants: 2,
        rows: vec![row(&[(1, 1.0)]), row(&[(2, 1.0)]), row(&[(3, 1.0)])],
    };
    let settings = Settings { tenants: vec![Tenant { allowance_per_s: 1e5 }; 3], ..settings() };
    let mut harness = new_harness(settings, &fleet(&[1, 2, 3], 2), &split);
    for (class, tenant, zone) in [(0, 0, 1), (0, 1, 2), (1, 0, 3), (1, 1, 1), (0, 2, 3), (1, 2, 3)] {
        let counts = send_and_count(&mut harness, class, tenant, 20, &[]);
        assert_eq!(counts, BTreeMap::from([(zone, 20)]), "class {class}, tenant {tenant}");
    }
}

#[test]
fn the_share_of_a_zone_without_upstreams_goes_to_the_other_zones_in_proportion() {
    let fleet = fleet(&[1, 2, 3], 3);
    let mut harness = new_harness(settings(), &fleet, &split_of(row(&[(1, 0.5), (2, 0.3), (3, 0.1)])));
    send_and_count(&mut harness, 0, 0, 100, &[]);
    let removed: Vec<Endpoint> = fleet
        .iter()
        .filter(|l| l.zone == ZoneId(1))
        .map(|l| Endpoint { availability: Availability::Removed, ..l.clone() })
        .collect();
    harness.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &removed });
    let counts = send_and_count(&mut harness, 0, 0, 10_000, &[]);
    // The split still rejects a tenth of the requests.
    assert!(counts[&2].abs_diff(6750) <= 20 && counts[&3].abs_diff(2250) <= 20, "{counts:?}");
    assert!(!counts.contains_key(&1));
}

#[test]
fn an_unreachable_zone_is_avoided_once_its_upstreams_are_ejected() {
    let mut harness = new_harness(settings(), &fleet(&[1, 2, 3], 3), &split_of(row(&[(1, 0.8), (2, 0.2)])));
    send_and_count(&mut harness, 0, 0, 1000, &[]);
    send_and_count(&mut harness, 0, 0, 500, &[1]);
    let counts = send_and_count(&mut harness, 0, 0, 500, &[1]);
    assert!(counts.get(&1).copied().unwrap_or(0) <= 12, "{counts:?}");
    assert!(counts[&2] >= 480, "{counts:?}");
    // If both zones of the split are unreachable, requests are still sent to them.
    let counts = send_and_count(&mut harness, 0, 0, 3000, &[1, 2]);
    assert!(counts.values().sum::<u32>() > 100, "{counts:?}");
}

#[test]
fn retries_avoid_forbidden_zones_and_stay_in_the_region() {
    let mut split = split_of(row(&[(1, 1.0)]));
    split.rows[0].forbidden = vec![ZoneId(3)];
    let mut harness = new_harness(settings(), &fleet(&[1, 2, 3, 4], 1), &split);
    send_and_count(&mut harness, 0, 0, 300, &[1]);
    let zones: Vec<u8> = harness.attempts.values().flatten().map(|s| zone_of(s.1)).collect();
    assert!(zones.contains(&2), "retries use zone 2, which is in the region but has no share");
    assert!(
        !zones.contains(&3) && !zones.contains(&4),
        "retries avoid zone 3, which is forbidden, and zone 4, which is outside the region"
    );
    // Zone 2, the only other zone of the region, is forbidden.
    split.rows[0].forbidden = vec![ZoneId(2)];
    harness.handle(Event::TrafficSplit { split: Some(&split) });
    let before = harness.attempts.len();
    send_and_count(&mut harness, 0, 0, 300, &[1]);
    assert!(harness.attempts.values().skip(before).flatten().all(|s| zone_of(s.1) == 1));
}

#[test]
fn the_cross_region_bound_includes_retries() {
    // Zone 1 rejects two thirds of its requests. Only zone 3, outside the region, is left for retries.
    let mut split = split_of(row(&[(1, 0.9), (3, 0.1)]));
    split.rows[0].max_cross_region = 0.12;
    let settings = Settings { can_hedge: false, ..settings() };
    let mut harness = new_harness(settings, &fleet(&[1, 3], 3), &split);
    let count = 5000;
    for n in 0..count {
        let id = harness.send_request(0, 0, ms(1000));
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            let fails = zone_of(upstream) == 1 && n % 3 != 0;
            harness.end_attempt(id, attempt, if fails { Outcome::Rejected } else { Outcome::Ok });
            attempt += 1;
        }
        harness.advance(ms(1));
    }
    let crossed = harness.attempts.values().filter(|s| s.iter().any(|s| zone_of(s.1) == 3)).count();
    assert!(
        crossed <= (0.12 * f64::from(count)) as usize + 4,
        "{crossed} of {count} requests left the region"
    );
    assert!(crossed >= (0.115 * f64::from(count)) as usize, "{crossed} of {count} requests left the region");
}

#[test]
fn the_cross_region_bound_overrides_larger_shares() {
    let mut split = split_of(row(&[(1, 0.5), (3, 0.5)]));
    split.rows[0].max_cross_region = 0.2;
    let mut harness = new_harness(settings(), &fleet(&[1, 3], 3), &split);
    let counts = send_and_count(&mut harness, 0, 0, 5000, &[]);
    assert!(counts[&3] <= 1004 && counts[&3] >= 990, "{counts:?}");
    assert_eq!(counts[&1] + counts[&3], 5000);
    split.rows[0].max_cross_region = 0.0;
    harness.handle(Event::TrafficSplit { split: Some(&split) });
    assert_eq!(send_and_count(&mut harness, 0, 0, 1000, &[]), BTreeMap::from([(1, 1000)]));
}

#[test]
fn small_shares_are_met_when_the_split_changes_often() {
    let mut harness = new_harness(settings(), &fleet(&[1, 2], 3), &split_of(row(&[(1, 0.9), (2, 0.1)])));
    let mut remote = 0;
    for k in 0..500 {
        let share = 0.1 + 0.0001 * f64::from(k % 2);
        harness.handle(Event::TrafficSplit { split: Some(&split_of(row(&[(1, 1.0 - share), (2, share)]))) });
        remote += send_and_count(&mut harness, 0, 0, 4, &[]).get(&2).copied().unwrap_or(0);
    }
    assert!((190..=210).contains(&remote), "{remote} requests went to the remote zone");
}

#[test]
fn invalid_splits_are_ignored() {
    let valid_split = split_of(row(&[(1, 1.0)]));
    let mut harness = new_harness(settings(), &fleet(&[1, 2], 2), &valid_split);
    let split_with = |change: &dyn Fn(&mut TrafficSplit)| {
        let mut split = split_of(row(&[(2, 1.0)]));
        change(&mut split);
        split
    };
    let invalid_splits = [
        (split_with(&|s| s.rows.clear()), TrafficSplitError::NoRows),
        (split_with(&|s| s.rows = vec![row(&[]); 257]), TrafficSplitError::TooManyRows),
        (split_with(&|s| s.rows[0].zone_shares[0].1 = f64::NAN), TrafficSplitError::OutOfRange(0)),
        (split_with(&|s| s.rows[0].zone_shares[0].1 = f64::INFINITY), TrafficSplitError::OutOfRange(0)),
        (split_with(&|s| s.rows[0].zone_shares[0].1 = -0.1), TrafficSplitError::OutOfRange(0)),
        (split_with(&|s| s.rows[0].zone_shares.push((ZoneId(3), 0.1))), TrafficSplitError::OutOfRange(0)),
        (split_with(&|s| s.rows[0].max_cross_region = f64::NAN), TrafficSplitError::OutOfRange(0)),
        (
            split_with(&|s| s.rows[0].zone_shares = vec![(ZoneId(2), 0.1); 2]),
            TrafficSplitError::DuplicateZone(0, ZoneId(2)),
        ),
        (
            split_with(&|s| s.rows[0].forbidden.push(ZoneId(2))),
            TrafficSplitError::ForbiddenZone(0, ZoneId(2)),
        ),
        (
            split_with(&|s| s.rows[0].zone_shares = (0..65).map(|z| (ZoneId(z), 0.0)).collect()),
            TrafficSplitError::TooManyZones(0),
        ),
    ];
    for (split, expected_error) in invalid_splits {
        assert_eq!(split.check(), Err(expected_error));
        harness.handle(Event::TrafficSplit { split: Some(&split) });
        assert_eq!(send_and_count(&mut harness, 0, 0, 5, &[]), BTreeMap::from([(1, 5)]));
    }
    // Unusual but valid splits have no tenants in their table, and no zones or only zones that don't exist.
    for zone_shares in [&[][..], &[(9, 1.0)], &[(9, 0.5)]] {
        harness.handle(Event::TrafficSplit {
            split: Some(&TrafficSplit { groups: Vec::new(), tenants: 0, ..split_of(row(zone_shares)) }),
        });
        assert!(send_and_count(&mut harness, 0, 0, 50, &[]).is_empty(), "{zone_shares:?}");
    }
    harness.handle(Event::TrafficSplit { split: None });
    let counts = send_and_count(&mut harness, 0, 0, 100, &[]);
    assert!(counts[&1] > 30 && counts[&2] > 30, "without a split, both zones are used: {counts:?}");
}

#[test]
fn the_split_survives_endpoint_and_settings_changes() {
    let list = fleet(&[1, 2], 2);
    let mut harness = new_harness(settings(), &list, &split_of(row(&[(1, 1.0)])));
    let moved_endpoints = [Endpoint { zone: ZoneId(2), ..list[0].clone() }];
    harness.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &moved_endpoints });
    send_and_count(&mut harness, 0, 0, 100, &[]);
    let attempts_at_moved = harness.attempts_to(list[0].id);
    assert_eq!(attempts_at_moved, 0, "the upstream moved to a zone without a share");
    let settings = Settings { classes: vec![settings().classes[0].clone(); 4], ..settings() };
    harness.handle(Event::SettingsChanged { settings: &settings, removed_tenants: &[] });
    assert_eq!(send_and_count(&mut harness, 3, 1, 50, &[]), BTreeMap::from([(1, 50)]));
}

#[test]
fn the_last_reachable_zone_gets_all_requests() {
    let mut harness =
        new_harness(settings(), &fleet(&[1, 2, 3], 3), &split_of(row(&[(1, 0.5), (2, 0.3), (3, 0.2)])));
    send_and_count(&mut harness, 0, 0, 1000, &[]);
    send_and_count(&mut harness, 0, 0, 500, &[1, 2]);
    let counts = send_and_count(&mut harness, 0, 0, 500, &[1, 2]);
    assert!(counts[&3] >= 480, "{counts:?}");
}

#[test]
fn trials_of_ejected_upstreams_stay_in_the_selected_zone() {
    let split =
        TrafficSplit { groups: vec![0, 1], tenants: 2, rows: vec![row(&[(1, 1.0)]), row(&[(3, 1.0)])] };
    let mut harness = new_harness(settings(), &fleet(&[1, 3], 3), &split);
    send_and_count(&mut harness, 0, 0, 100, &[]);
    for _ in 0..40 {
        let id = harness.send_request(0, 1, ms(1000));
        let mut attempt = 0;
        while harness.upstream_of(id, attempt).is_some() {
            harness.end_attempt(id, attempt, Outcome::Rejected);
            attempt += 1;
        }
        harness.advance(ms(10));
    }
    // An upstream of zone 3 is ejected for this class and trials of it are due, but the balancer does not
    // avoid the complete zone. Requests of tenant 0 must still go to zone 1 only.
    assert_eq!(send_and_count(&mut harness, 0, 0, 4000, &[]), BTreeMap::from([(1, 4000)]));
}

#[test]
fn a_subset_contains_only_upstreams_in_zones_with_a_share() {
    let settings = Settings { balancers: 1000, ..settings() };
    let mut harness = new_harness(settings, &fleet(&[1, 2, 3, 4], 100), &split_of(row(&[(1, 1.0)])));
    send_and_count(&mut harness, 0, 0, 2000, &[]);
    let used: std::collections::BTreeSet<UpstreamId> =
        harness.attempts.values().flatten().map(|s| s.1).collect();
    assert!(used.len() >= 80, "{} of 100 upstreams are used", used.len());
}

#[test]
fn retries_stay_in_the_region() {
    let mut harness = new_harness(settings(), &fleet(&[1, 2, 3], 1), &split_of(row(&[(1, 0.9), (3, 0.1)])));
    for _ in 0..200 {
        let id = harness.send_request(0, 0, ms(1000));
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            harness.end_attempt(
                id,
                attempt,
                if zone_of(upstream) == 1 { Outcome::Reset } else { Outcome::Ok },
            );
            attempt += 1;
        }
        harness.advance(ms(20));
    }
    let second = harness.attempts.values().filter_map(|s| s.get(1)).map(|s| zone_of(s.1));
    let second: Vec<u8> = second.collect();
    assert!(second.len() > 5 && second.iter().all(|z| *z == 2), "zones of second attempts: {second:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default() })]

    /// Zone shares are met within 1 %, forbidden zones get no attempts, and the cross-region bound holds.
    #[test]
    fn any_valid_split_is_obeyed(
        weights in prop::collection::vec(0u32..1000, 1..6),
        unassigned in 0u32..500,
        forbidden_zone in 0u8..8,
        bound_tenths in 0u32..=10,
        failing_zones in prop::collection::vec(prop::bool::weighted(0.1), 7),
    ) {
        let sum = f64::from(weights.iter().sum::<u32>() + unassigned).max(1.0);
        let zone_shares: Vec<(u8, f64)> =
            weights.iter().enumerate().map(|(k, p)| (k as u8 + 1, f64::from(*p) / sum)).collect();
        let zone_shares: Vec<(u8, f64)> =
            zone_shares.into_iter().filter(|(z, _)| *z != forbidden_zone).collect();
        let mut split = split_of(row(&zone_shares));
        split.rows[0].forbidden = vec![ZoneId(forbidden_zone)];
        split.rows[0].max_cross_region = f64::from(bound_tenths) / 10.0;
        prop_assert_eq!(split.check(), Ok(()));
        let mut harness = new_harness(settings(), &fleet(&[0, 1, 2, 3, 4, 5, 6], 2), &split);
        let count = 2000;
        let mut first_attempts: BTreeMap<u8, u32> = BTreeMap::new();
        for n in 0..count {
            let id = harness.send_request(0, 0, ms(1000));
            first_attempts
                .entry(harness.upstream_of(id, 0).map_or(255, zone_of))
                .and_modify(|n| *n += 1)
                .or_insert(1);
            let mut attempt = 0;
            while let Some(upstream) = harness.upstream_of(id, attempt) {
                let fails = failing_zones[usize::from(zone_of(upstream))] && n % 7 == 0;
                harness.end_attempt(id, attempt, if fails { Outcome::Rejected } else { Outcome::Ok });
                attempt += 1;
            }
            harness.advance(ms(1));
        }
        let zones = |s: &Vec<(std::time::Duration, UpstreamId)>| -> Vec<u8> {
            s.iter().map(|s| zone_of(s.1)).collect()
        };
        let is_outside_region = |z: &u8| *z != 1 && *z != 2;
        let mut crossed = 0;
        for attempt_zones in harness.attempts.values().map(zones) {
            prop_assert!(!attempt_zones.contains(&forbidden_zone));
            crossed += u32::from(attempt_zones.iter().any(is_outside_region));
        }
        prop_assert!(
            f64::from(crossed) <= f64::from(bound_tenths) / 10.0 * f64::from(count) + 5.0,
            "{crossed} requests left the region"
        );
        let outside_share: f64 =
            zone_shares.iter().filter(|(z, _)| is_outside_region(z)).map(|(_, s)| s).sum();
        // Shares are met only if the split itself is within the cross-region bound and no zone fails. Retries
        // use up the bound, and upstreams that reject requests are avoided.
        if (outside_share == 0.0 || bound_tenths == 10) && !failing_zones.contains(&true) {
            for (zone, share) in &zone_shares {
                let received = f64::from(first_attempts.get(zone).copied().unwrap_or(0)) / f64::from(count);
                prop_assert!(
                    (received - share).abs() <= 0.01,
                    "zone {zone} received {received} of the requests instead of {share}"
                );
            }
        }
    }
}

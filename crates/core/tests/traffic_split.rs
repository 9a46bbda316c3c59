//! TrafficSplit by group of requests: which zones they go to, and what admission makes of it.

mod common;

use common::{Bench, class, listed, ms};
use maplehook_core::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn zone_of(id: UpstreamId) -> u8 {
    (id.0 / 100) as u8
}

/// `each` upstreams in each of these zones; the zone is the hundreds of the id.
fn fleet(zones: &[u8], each: u64) -> Vec<Endpoint> {
    let ids = zones.iter().flat_map(|z| (0..each).map(move |n| u64::from(*z) * 100 + n));
    ids.map(|id| Endpoint { zone: ZoneId((id / 100) as u8), ..listed(id) }).collect()
}

fn plenty() -> Settings {
    Settings {
        zone: ZoneId(1),
        classes: vec![class(200, 1000, Effect::Idempotent), class(200, 1000, Effect::Idempotent)],
        tenants: vec![Tenant { allowance_per_s: 1e5 }, Tenant { allowance_per_s: 1e5 }],
        ..Settings::default()
    }
}

fn row(to: &[(u8, f64)]) -> GroupSplit {
    GroupSplit {
        zone_shares: to.iter().map(|(z, s)| (ZoneId(*z), *s)).collect(),
        region: vec![ZoneId(1), ZoneId(2)],
        forbidden: Vec::new(),
        max_cross_region: 1.0,
    }
}

fn one(row: GroupSplit) -> TrafficSplit {
    TrafficSplit { groups: vec![0], tenants: 1, rows: vec![row] }
}

fn bench(settings: Settings, fleet: &[Endpoint], shares: &TrafficSplit) -> Bench {
    let mut bench = Bench::new(settings, fleet);
    bench.tell(Event::TrafficSplit { split: Some(shares) });
    bench
}

/// First attempts by zone, each answered at once or, in the zones of `dead`, refused a connection.
fn drawn(bench: &mut Bench, class: u16, tenant: u32, count: u32, dead: &[u8]) -> BTreeMap<u8, u32> {
    let mut found = BTreeMap::new();
    for _ in 0..count {
        let id = bench.request(class, tenant, ms(1000));
        if let Some(first) = bench.at(id, 0) {
            *found.entry(zone_of(first)).or_default() += 1;
        }
        let mut attempt = 0;
        while let Some(upstream) = bench.at(id, attempt) {
            let dead = dead.contains(&zone_of(upstream));
            bench.ended(id, attempt, if dead { Outcome::ConnectFailed } else { Outcome::Ok });
            attempt += 1;
        }
        bench.run(ms(1));
    }
    found
}

#[test]
fn shares_are_kept_and_the_rest_is_refused_on_arrival() {
    let mut bench = bench(plenty(), &fleet(&[1, 2, 3], 3), &one(row(&[(1, 0.5), (3, 0.3)])));
    let found = drawn(&mut bench, 0, 0, 10_000, &[]);
    assert_eq!(found.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert!(found[&1].abs_diff(5000) <= 2 && found[&3].abs_diff(3000) <= 2, "{found:?}");
    let refused = bench.answers.values().filter(|a| **a == "refused").count();
    assert!(refused.abs_diff(2000) <= 2, "{refused}");
    assert_eq!(
        bench.balancer.group_observations(),
        [GroupObservation { requests: 10_000, rejected: refused as u64 }]
    );
}

#[test]
fn each_group_has_its_own_and_whoever_is_in_no_table_the_last() {
    let shares = TrafficSplit {
        groups: vec![0, 1, 9, 0],
        tenants: 2,
        rows: vec![row(&[(1, 1.0)]), row(&[(2, 1.0)]), row(&[(3, 1.0)])],
    };
    let settings = Settings { tenants: vec![Tenant { allowance_per_s: 1e5 }; 3], ..plenty() };
    let mut bench = bench(settings, &fleet(&[1, 2, 3], 2), &shares);
    for (class, tenant, zone) in [(0, 0, 1), (0, 1, 2), (1, 0, 3), (1, 1, 1), (0, 2, 3), (1, 2, 3)] {
        let found = drawn(&mut bench, class, tenant, 20, &[]);
        assert_eq!(found, BTreeMap::from([(zone, 20)]), "class {class}, tenant {tenant}");
    }
}

#[test]
fn a_zone_that_can_take_no_turn_passes_its_share_on_in_proportion() {
    let fleet = fleet(&[1, 2, 3], 3);
    let mut bench = bench(plenty(), &fleet, &one(row(&[(1, 0.5), (2, 0.3), (3, 0.1)])));
    drawn(&mut bench, 0, 0, 100, &[]);
    let gone: Vec<Endpoint> = fleet
        .iter()
        .filter(|l| l.zone == ZoneId(1))
        .map(|l| Endpoint { availability: Availability::Removed, ..l.clone() })
        .collect();
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &gone });
    let found = drawn(&mut bench, 0, 0, 10_000, &[]);
    // A tenth is refused as before.
    assert!(found[&2].abs_diff(6750) <= 20 && found[&3].abs_diff(2250) <= 20, "{found:?}");
    assert!(!found.contains_key(&1));
}

#[test]
fn a_lost_zone_is_left_once_its_upstreams_are_held_for_dead() {
    let mut bench = bench(plenty(), &fleet(&[1, 2, 3], 3), &one(row(&[(1, 0.8), (2, 0.2)])));
    drawn(&mut bench, 0, 0, 1000, &[]);
    drawn(&mut bench, 0, 0, 500, &[1]);
    let found = drawn(&mut bench, 0, 0, 500, &[1]);
    assert!(found.get(&1).copied().unwrap_or(0) <= 12, "{found:?}");
    assert!(found[&2] >= 480, "{found:?}");
    // All reached are gone: it tries them rather than nobody.
    let found = drawn(&mut bench, 0, 0, 3000, &[1, 2]);
    assert!(found.values().sum::<u32>() > 100, "{found:?}");
}

#[test]
fn nothing_goes_to_a_forbidden_zone_and_retries_stay_where_the_row_allows() {
    let mut shares = one(row(&[(1, 1.0)]));
    shares.rows[0].forbidden = vec![ZoneId(3)];
    let mut bench = bench(plenty(), &fleet(&[1, 2, 3, 4], 1), &shares);
    drawn(&mut bench, 0, 0, 300, &[1]);
    let zones: Vec<u8> = bench.sent.values().flatten().map(|s| zone_of(s.1)).collect();
    assert!(zones.contains(&2), "further attempts use the region without a share");
    assert!(!zones.contains(&3) && !zones.contains(&4), "neither a forbidden zone nor one that has no share");
    // The forbidden zone lies in the region, and is all that is left.
    shares.rows[0].forbidden = vec![ZoneId(2)];
    bench.tell(Event::TrafficSplit { split: Some(&shares) });
    let before = bench.sent.len();
    drawn(&mut bench, 0, 0, 300, &[1]);
    assert!(bench.sent.values().skip(before).flatten().all(|s| zone_of(s.1) == 1));
}

#[test]
fn no_more_than_agreed_leaves_the_region_further_attempts_counted() {
    // Nearly all first attempts in the region break: the only other place is beyond it.
    let mut shares = one(row(&[(1, 0.9), (3, 0.1)]));
    shares.rows[0].max_cross_region = 0.12;
    let settings = Settings { can_hedge: false, ..plenty() };
    let mut bench = bench(settings, &fleet(&[1, 3], 3), &shares);
    let count = 5000;
    for n in 0..count {
        let id = bench.request(0, 0, ms(1000));
        let mut attempt = 0;
        while let Some(upstream) = bench.at(id, attempt) {
            let broken = zone_of(upstream) == 1 && n % 3 != 0;
            bench.ended(id, attempt, if broken { Outcome::Rejected } else { Outcome::Ok });
            attempt += 1;
        }
        bench.run(ms(1));
    }
    let left = bench.sent.values().filter(|s| s.iter().any(|s| zone_of(s.1) == 3)).count();
    assert!(left <= (0.12 * f64::from(count)) as usize + 4, "{left} of {count}");
    assert!(left >= (0.115 * f64::from(count)) as usize, "{left} of {count}");
}

#[test]
fn a_plan_over_the_bound_of_its_own_row_is_held_to_the_bound() {
    let mut shares = one(row(&[(1, 0.5), (3, 0.5)]));
    shares.rows[0].max_cross_region = 0.2;
    let mut bench = bench(plenty(), &fleet(&[1, 3], 3), &shares);
    let found = drawn(&mut bench, 0, 0, 5000, &[]);
    assert!(found[&3] <= 1004 && found[&3] >= 990, "{found:?}");
    assert_eq!(found[&1] + found[&3], 5000);
    shares.rows[0].max_cross_region = 0.0;
    bench.tell(Event::TrafficSplit { split: Some(&shares) });
    assert_eq!(drawn(&mut bench, 0, 0, 1000, &[]), BTreeMap::from([(1, 1000)]));
}

#[test]
fn small_shares_get_their_part_however_often_the_plan_changes() {
    let mut bench = bench(plenty(), &fleet(&[1, 2], 3), &one(row(&[(1, 0.9), (2, 0.1)])));
    let mut far = 0;
    for k in 0..500 {
        let share = 0.1 + 0.0001 * f64::from(k % 2);
        bench.tell(Event::TrafficSplit { split: Some(&one(row(&[(1, 1.0 - share), (2, share)]))) });
        far += drawn(&mut bench, 0, 0, 4, &[]).get(&2).copied().unwrap_or(0);
    }
    assert!((190..=210).contains(&far), "{far}");
}

#[test]
fn what_can_t_be_acted_on_changes_nothing() {
    let good = one(row(&[(1, 1.0)]));
    let mut bench = bench(plenty(), &fleet(&[1, 2], 2), &good);
    let with = |change: &dyn Fn(&mut TrafficSplit)| {
        let mut shares = one(row(&[(2, 1.0)]));
        change(&mut shares);
        shares
    };
    let wild = [
        (with(&|s| s.rows.clear()), TrafficSplitError::NoRows),
        (with(&|s| s.rows = vec![row(&[]); 257]), TrafficSplitError::TooManyRows),
        (with(&|s| s.rows[0].zone_shares[0].1 = f64::NAN), TrafficSplitError::OutOfRange(0)),
        (with(&|s| s.rows[0].zone_shares[0].1 = f64::INFINITY), TrafficSplitError::OutOfRange(0)),
        (with(&|s| s.rows[0].zone_shares[0].1 = -0.1), TrafficSplitError::OutOfRange(0)),
        (with(&|s| s.rows[0].zone_shares.push((ZoneId(3), 0.1))), TrafficSplitError::OutOfRange(0)),
        (with(&|s| s.rows[0].max_cross_region = f64::NAN), TrafficSplitError::OutOfRange(0)),
        (
            with(&|s| s.rows[0].zone_shares = vec![(ZoneId(2), 0.1); 2]),
            TrafficSplitError::DuplicateZone(0, ZoneId(2)),
        ),
        (with(&|s| s.rows[0].forbidden.push(ZoneId(2))), TrafficSplitError::ForbiddenZone(0, ZoneId(2))),
        (
            with(&|s| s.rows[0].zone_shares = (0..65).map(|z| (ZoneId(z), 0.0)).collect()),
            TrafficSplitError::TooManyZones(0),
        ),
    ];
    for (shares, fault) in wild {
        assert_eq!(shares.check(), Err(fault));
        bench.tell(Event::TrafficSplit { split: Some(&shares) });
        assert_eq!(drawn(&mut bench, 0, 0, 5, &[]), BTreeMap::from([(1, 5)]));
    }
    // Odd, but clear: no tenants in the table, nobody served, zones that do not exist.
    for to in [&[][..], &[(9, 1.0)], &[(9, 0.5)]] {
        bench.tell(Event::TrafficSplit {
            split: Some(&TrafficSplit { groups: Vec::new(), tenants: 0, ..one(row(to)) }),
        });
        assert!(drawn(&mut bench, 0, 0, 50, &[]).is_empty(), "{to:?}");
    }
    bench.tell(Event::TrafficSplit { split: None });
    let found = drawn(&mut bench, 0, 0, 100, &[]);
    assert!(found[&1] > 30 && found[&2] > 30, "as it was before there were shares: {found:?}");
}

#[test]
fn zones_relisted_and_settings_retuned_keep_the_shares() {
    let list = fleet(&[1, 2], 2);
    let mut bench = bench(plenty(), &list, &one(row(&[(1, 1.0)])));
    let moved = [Endpoint { zone: ZoneId(2), ..list[0].clone() }];
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &moved });
    drawn(&mut bench, 0, 0, 100, &[]);
    let at_moved = bench.attempts_at(list[0].id);
    assert_eq!(at_moved, 0, "it lies in the other zone now");
    let settings = Settings { classes: vec![plenty().classes[0].clone(); 4], ..plenty() };
    bench.tell(Event::SettingsChanged { settings: &settings, removed_tenants: &[] });
    assert_eq!(drawn(&mut bench, 3, 1, 50, &[]), BTreeMap::from([(1, 50)]));
}

#[test]
fn two_zones_of_three_lost_leave_the_third() {
    let mut bench = bench(plenty(), &fleet(&[1, 2, 3], 3), &one(row(&[(1, 0.5), (2, 0.3), (3, 0.2)])));
    drawn(&mut bench, 0, 0, 1000, &[]);
    drawn(&mut bench, 0, 0, 500, &[1, 2]);
    let found = drawn(&mut bench, 0, 0, 500, &[1, 2]);
    assert!(found[&3] >= 480, "{found:?}");
}

#[test]
fn a_trial_stays_in_the_zone_that_was_drawn() {
    let shares =
        TrafficSplit { groups: vec![0, 1], tenants: 2, rows: vec![row(&[(1, 1.0)]), row(&[(3, 1.0)])] };
    let mut bench = bench(plenty(), &fleet(&[1, 3], 3), &shares);
    drawn(&mut bench, 0, 0, 100, &[]);
    for _ in 0..40 {
        let id = bench.request(0, 1, ms(1000));
        let mut attempt = 0;
        while bench.at(id, attempt).is_some() {
            bench.ended(id, attempt, Outcome::Rejected);
            attempt += 1;
        }
        bench.run(ms(10));
    }
    // Somebody of the other zone is out for this class, and trials fall due; and no zone is out as a whole.
    assert_eq!(drawn(&mut bench, 0, 0, 4000, &[]), BTreeMap::from([(1, 4000)]));
}

#[test]
fn a_subset_is_of_those_that_are_reached() {
    let settings = Settings { balancers: 1000, ..plenty() };
    let mut bench = bench(settings, &fleet(&[1, 2, 3, 4], 100), &one(row(&[(1, 1.0)])));
    drawn(&mut bench, 0, 0, 2000, &[]);
    let used: std::collections::BTreeSet<UpstreamId> = bench.sent.values().flatten().map(|s| s.1).collect();
    assert!(used.len() >= 80, "{} of 100", used.len());
}

#[test]
fn further_attempts_stay_as_near_as_they_can() {
    let mut bench = bench(plenty(), &fleet(&[1, 2, 3], 1), &one(row(&[(1, 0.9), (3, 0.1)])));
    for _ in 0..200 {
        let id = bench.request(0, 0, ms(1000));
        let mut attempt = 0;
        while let Some(upstream) = bench.at(id, attempt) {
            bench.ended(id, attempt, if zone_of(upstream) == 1 { Outcome::Reset } else { Outcome::Ok });
            attempt += 1;
        }
        bench.run(ms(20));
    }
    let second = bench.sent.values().filter_map(|s| s.get(1)).map(|s| zone_of(s.1));
    let second: Vec<u8> = second.collect();
    assert!(second.len() > 5 && second.iter().all(|z| *z == 2), "{second:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default() })]

    /// TrafficSplit within 1 %, `never` never, nothing over the bound of the region, whatever the shares.
    #[test]
    fn any_shares_are_kept(
        parts in prop::collection::vec(0u32..1000, 1..6),
        rest in 0u32..500,
        never in 0u8..8,
        most in 0u32..=10,
        broken in prop::collection::vec(prop::bool::weighted(0.1), 7),
    ) {
        let sum = f64::from(parts.iter().sum::<u32>() + rest).max(1.0);
        let to: Vec<(u8, f64)> =
            parts.iter().enumerate().map(|(k, p)| (k as u8 + 1, f64::from(*p) / sum)).collect();
        let to: Vec<(u8, f64)> = to.into_iter().filter(|(z, _)| *z != never).collect();
        let mut shares = one(row(&to));
        shares.rows[0].forbidden = vec![ZoneId(never)];
        shares.rows[0].max_cross_region = f64::from(most) / 10.0;
        prop_assert_eq!(shares.check(), Ok(()));
        let mut bench = bench(plenty(), &fleet(&[0, 1, 2, 3, 4, 5, 6], 2), &shares);
        let count = 2000;
        let mut first: BTreeMap<u8, u32> = BTreeMap::new();
        for n in 0..count {
            let id = bench.request(0, 0, ms(1000));
            first.entry(bench.at(id, 0).map_or(255, zone_of)).and_modify(|n| *n += 1).or_insert(1);
            let mut attempt = 0;
            while let Some(upstream) = bench.at(id, attempt) {
                let breaks = broken[usize::from(zone_of(upstream))] && n % 7 == 0;
                bench.ended(id, attempt, if breaks { Outcome::Rejected } else { Outcome::Ok });
                attempt += 1;
            }
            bench.run(ms(1));
        }
        let zones = |s: &Vec<(std::time::Duration, UpstreamId)>| -> Vec<u8> {
            s.iter().map(|s| zone_of(s.1)).collect()
        };
        let out = |z: &u8| *z != 1 && *z != 2;
        let mut left = 0;
        for sent in bench.sent.values().map(zones) {
            prop_assert!(!sent.contains(&never));
            left += u32::from(sent.iter().any(out));
        }
        prop_assert!(f64::from(left) <= f64::from(most) / 10.0 * f64::from(count) + 5.0, "{left} left");
        let beyond: f64 = to.iter().filter(|(z, _)| out(z)).map(|(_, s)| s).sum();
        // Within the bound, with nothing taken from it by further attempts
        // and nobody passed over because it turns requests away, the shares are what was told.
        if (beyond == 0.0 || most == 10) && !broken.contains(&true) {
            for (zone, share) in &to {
                let found = f64::from(first.get(zone).copied().unwrap_or(0)) / f64::from(count);
                prop_assert!((found - share).abs() <= 0.01, "zone {zone}: {found} for {share}");
            }
        }
    }
}

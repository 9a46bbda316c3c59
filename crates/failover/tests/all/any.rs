//! What holds in any order of evidence, however wild.

use crate::world::{World, topology};
use maplehook_failover::{Bounds, Decider, Demand, Document, Report, ZoneObservation, ZoneState};
use maplehook_locality::{Rules, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn figure() -> impl Strategy<Value = f32> {
    prop_oneof![4 => 0f32..2000.0, 1 => Just(0.0), 1 => any::<f32>(), 1 => Just(f32::NAN), 1 => Just(1e9)]
}

fn any_sight() -> impl Strategy<Value = ZoneObservation> {
    (0u16..70, any::<bool>(), prop::collection::vec(figure(), 12)).prop_map(|(zone, stated, f)| {
        ZoneObservation {
            zone: Zone(zone),
            stated,
            listed: f[0],
            usable: f[1],
            warming: f[2],
            sent: f[3],
            ok: f[4],
            slow: f[5],
            failed: f[6],
            unreached: f[7],
            connect_ms: f[8],
            load: f[9],
            probes: f[10],
            failed_probes: f[11],
        }
    })
}

fn any_report() -> impl Strategy<Value = Report> {
    let observations = prop::collection::vec(any_sight(), 0..6);
    let demand = prop::collection::vec((0u16..300, figure()), 0..4);
    (any::<u64>(), any::<u64>(), 0u16..70, observations, demand).prop_map(
        |(number, start, zone, observations, demand)| Report {
            number,
            start,
            zone: Zone(zone % 5),
            demand: demand
                .into_iter()
                .map(|(rule, asked)| Demand { rule: rule % 2, asked, rejected: 0.0 })
                .collect(),
            observations,
            ..Report::default()
        },
    )
}

/// Whatever stands, bounds and promises hold of it.
fn holds(document: &Document, bounds: &Bounds) {
    assert_eq!(Document::decode(&document.encode()).as_ref(), Some(document));
    for row in &document.plan.rows {
        assert!(
            row.is_sound() && usize::from(row.from.0) < 4 && row.to.iter().all(|s| s.zone.0 < 4),
            "{row:?}"
        );
    }
    assert!(document.plan.rows.is_sorted_by(|a, b| (a.rule, a.from) < (b.rule, b.from)));
    assert!(document.plan.spare.iter().all(|spare| spare.is_finite() && *spare >= 0.0));
    for place in &document.zone_statuses {
        assert!((0.0..=1.0).contains(&place.admitted_share), "{place:?}");
        assert!(
            f64::from(place.penalty) <= bounds.damping.max_penalty + 1.0 && place.usable.is_finite(),
            "{place:?}"
        );
    }
    let served = document.zone_statuses.iter().filter(|place| place.admitted_share > 0.0).count();
    assert!(served >= bounds.min_zones_in_service, "{:?}", document.zone_statuses);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default()
    })]

    #[test]
    fn any_reports_are_taken_without_harm(
        all in prop::collection::vec((0u8..9, any_report(), 0u64..3000), 0..60),
        least in 1usize..4,
    ) {
        let bounds = Bounds { min_zones_in_service: least, ..Bounds::default() };
        let mut decider = Decider::new(topology(), Rules::near_first(1, 1), bounds, None, Duration::ZERO);
        let mut now = Duration::ZERO;
        for (from, mut report, passed) in all {
            report.digest = decider.digest();
            now += Duration::from_millis(passed);
            decider.record_report(now, &format!("b{from}"), report);
            if let Some(document) = decider.tick(now) {
                holds(&document, &bounds);
                decider.accepted(&document);
            }
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16, failure_persistence: None, rng_seed: RngSeed::Fixed(35), ..ProptestConfig::default()
    })]

    #[test]
    fn bounds_and_damping_hold_under_any_order_of_faults(
        faults in prop::collection::vec((0usize..4, 0u8..5, 1u32..40), 1..20),
        max_capacity_removed in prop_oneof![Just(0.3), Just(0.6)],
        uneven in 1u32..4,
    ) {
        let bounds = Bounds { max_capacity_removed, ..Bounds::default() };
        let mut world = World::with(topology(), Rules::near_first(1, 1), bounds);
        world.zones[0].room *= f64::from(uneven);
        world.run(6.0);
        for (zone, fault, quarters) in faults {
            let truth = &mut world.zones[zone];
            match fault {
                0 => truth.up = 0.0,
                1 => truth.failing = 0.7,
                2 => truth.unreachable_from = vec![(zone + 1) % 4],
                _ => (truth.up, truth.failing, truth.unreachable_from) = (1.0, 0.0, vec![]),
            }
            world.run(f64::from(quarters) / 4.0);
        }
        let all: f64 = world.zones.iter().map(|zone| zone.room).sum();
        for (_, document) in &world.documents {
            holds(document, &bounds);
            let away: f64 = (0..4).map(|z| world.zones[z].room * (1.0 - f64::from(document.zone_statuses[z].admitted_share))).sum();
            prop_assert!(away <= all * max_capacity_removed + 1.0, "{away} of {all}: {:?}", document.zone_statuses);
        }
        // Falls: each costs a penalty of 1000 that halves in a minute, and over 1500 none returns.
        for zone in 0..4 {
            let state = |document: &Document| document.zone_statuses[zone].state;
            let bad = |document: &Document| matches!(state(document), ZoneState::Unhealthy | ZoneState::Unreachable);
            let falls: Vec<Duration> = world
                .documents
                .windows(2)
                .filter(|pair| !bad(&pair[0].1) && bad(&pair[1].1))
                .map(|pair| pair[1].0)
                .collect();
            for three in falls.windows(3) {
                prop_assert!(three[2] - three[0] >= Duration::from_secs(60), "{falls:?}");
            }
        }
    }
}

//! Invariants of the decisions for arbitrary reports and any sequence of faults.

use crate::simulation::{Simulation, topology};
use maplehook_failover::{Bounds, Decider, Demand, Document, Report, ZoneObservation, ZoneState};
use maplehook_locality::{Rules, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn any_rate() -> impl Strategy<Value = f32> {
    prop_oneof![4 => 0f32..2000.0, 1 => Just(0.0), 1 => any::<f32>(), 1 => Just(f32::NAN), 1 => Just(1e9)]
}

fn any_observation() -> impl Strategy<Value = ZoneObservation> {
    (0u16..70, any::<bool>(), prop::collection::vec(any_rate(), 12)).prop_map(|(zone, stated, values)| {
        ZoneObservation {
            zone: Zone(zone),
            stated,
            listed: values[0],
            usable: values[1],
            warming: values[2],
            sent: values[3],
            ok: values[4],
            slow: values[5],
            failed: values[6],
            unreached: values[7],
            connect_ms: values[8],
            load: values[9],
            probes: values[10],
            failed_probes: values[11],
        }
    })
}

fn any_report() -> impl Strategy<Value = Report> {
    let observations = prop::collection::vec(any_observation(), 0..6);
    let demand = prop::collection::vec((0u16..300, any_rate()), 0..4);
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

/// Asserts that a document survives encoding, has a valid plan and respects the bounds.
fn assert_document_is_valid(document: &Document, bounds: &Bounds) {
    assert_eq!(Document::decode(&document.encode()).as_ref(), Some(document));
    for row in &document.plan.rows {
        assert!(
            row.is_sound() && usize::from(row.from.0) < 4 && row.to.iter().all(|s| s.zone.0 < 4),
            "invalid row: {row:?}"
        );
    }
    assert!(document.plan.rows.is_sorted_by(|a, b| (a.rule, a.from) < (b.rule, b.from)));
    assert!(document.plan.spare.iter().all(|spare| spare.is_finite() && *spare >= 0.0));
    for status in &document.zone_statuses {
        assert!((0.0..=1.0).contains(&status.admitted_share), "admitted share out of range: {status:?}");
        assert!(
            f64::from(status.penalty) <= bounds.damping.max_penalty + 1.0 && status.usable.is_finite(),
            "penalty too high or usable capacity not finite: {status:?}"
        );
    }
    let served = document.zone_statuses.iter().filter(|status| status.admitted_share > 0.0).count();
    assert!(served >= bounds.min_zones_in_service, "too few zones in service: {:?}", document.zone_statuses);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_reports_lead_to_valid_documents(
        reports in prop::collection::vec((0u8..9, any_report(), 0u64..3000), 0..60),
        min_zones in 1usize..4,
    ) {
        let bounds = Bounds { min_zones_in_service: min_zones, ..Bounds::default() };
        let mut decider = Decider::new(topology(), Rules::near_first(1, 1), bounds, None, Duration::ZERO);
        let mut now = Duration::ZERO;
        for (from, mut report, elapsed_ms) in reports {
            report.digest = decider.digest();
            now += Duration::from_millis(elapsed_ms);
            decider.record_report(now, &format!("b{from}"), report);
            if let Some(document) = decider.tick(now) {
                assert_document_is_valid(&document, &bounds);
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
    fn bounds_and_damping_hold_for_any_sequence_of_faults(
        faults in prop::collection::vec((0usize..4, 0u8..5, 1u32..40), 1..20),
        max_capacity_removed in prop_oneof![Just(0.3), Just(0.6)],
        capacity_factor in 1u32..4,
    ) {
        let bounds = Bounds { max_capacity_removed, ..Bounds::default() };
        let mut sim = Simulation::with_config(topology(), Rules::near_first(1, 1), bounds);
        sim.zones[0].capacity *= f64::from(capacity_factor);
        sim.run(6.0);
        for (zone, fault, quarters) in faults {
            let conditions = &mut sim.zones[zone];
            match fault {
                0 => conditions.usable_share = 0.0,
                1 => conditions.failing_share = 0.7,
                2 => conditions.unreachable_from = vec![(zone + 1) % 4],
                _ => (conditions.usable_share, conditions.failing_share, conditions.unreachable_from) =
                    (1.0, 0.0, vec![]),
            }
            sim.run(f64::from(quarters) / 4.0);
        }
        let total: f64 = sim.zones.iter().map(|zone| zone.capacity).sum();
        for (_, document) in &sim.agreed_documents {
            assert_document_is_valid(document, &bounds);
            let removed: f64 = (0..4)
                .map(|z| sim.zones[z].capacity * (1.0 - f64::from(document.zone_statuses[z].admitted_share)))
                .sum();
            prop_assert!(
                removed <= total * max_capacity_removed + 1.0,
                "capacity {removed} of {total} is out of service: {:?}",
                document.zone_statuses
            );
        }
        // Each failure adds a penalty of 1000, which halves in one minute. A zone with a penalty above 1500
        // does not return to service. Three failures therefore take at least a minute.
        for zone in 0..4 {
            let state = |document: &Document| document.zone_statuses[zone].state;
            let is_failed = |document: &Document|
                matches!(state(document), ZoneState::Unhealthy | ZoneState::Unreachable);
            let failure_times: Vec<Duration> = sim
                .agreed_documents
                .windows(2)
                .filter(|pair| !is_failed(&pair[0].1) && is_failed(&pair[1].1))
                .map(|pair| pair[1].0)
                .collect();
            for times in failure_times.windows(3) {
                prop_assert!(
                    times[2] - times[0] >= Duration::from_secs(60),
                    "three failures within a minute: {failure_times:?}"
                );
            }
        }
    }
}

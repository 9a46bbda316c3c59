//! Decision time at the largest supported size: 300 balancers, 64 zones and 256 rules.

use maplehook_failover::{Bounds, Decider, Demand, Report, ZoneObservation};
use maplehook_locality::{Rule, Rules, Topology, Zone};
use std::time::{Duration, Instant};

#[test]
fn reports_of_300_balancers_are_evaluated_in_time() {
    let zone_names: Vec<String> = (0..64).map(|n| format!("z{n}")).collect();
    let region_names: Vec<String> = (0..8).map(|n| format!("r{n}")).collect();
    let regions_with_zones = region_names.iter().enumerate().map(|(n, region)| {
        (region.as_str(), zone_names[n * 8..n * 8 + 8].iter().map(String::as_str).collect::<Vec<_>>())
    });
    let topology = Topology::new(regions_with_zones).unwrap();
    let rule = |n: usize| {
        let mut rule = Rule::near_first();
        rule.name = format!("r{n}");
        rule.spill.over = 0.7 + 0.01 * (n % 16) as f64;
        rule
    };
    let rules = Rules::new((0..256).map(rule).collect(), 1, 1, |_, _| 0);
    let bounds = Bounds { max_moved_per_s: 1.0, ..Bounds::default() };
    let mut decider = Decider::new(topology, rules, bounds, None, Duration::ZERO);
    let members: Vec<(String, Zone)> = (0..300u16).map(|n| (format!("b{n}"), Zone(n % 64))).collect();
    decider.set_members(&members, 0);
    let digest = decider.digest();
    let report = |number: u64, n: u16, unreachable_zones: u16| {
        let own_zone = n % 64;
        // Observations of all zones, without the size limit of encoded reports.
        let observation = |zone: u16| {
            let is_unreachable = zone < unreachable_zones;
            ZoneObservation {
                zone: Zone(zone),
                stated: true,
                listed: 1000.0,
                usable: if is_unreachable { 0.0 } else { 1000.0 },
                sent: if zone == own_zone { 130.0 } else { 0.0 },
                ok: if zone == own_zone && !is_unreachable { 130.0 } else { 0.0 },
                unreached: if zone == own_zone && is_unreachable { 130.0 } else { 0.0 },
                ..ZoneObservation::default()
            }
        };
        let demand = |k: u16| Demand { rule: (n / 64 * 50 + k) % 256, asked: 2.6, rejected: 0.0 };
        Report {
            number,
            start: 1,
            zone: Zone(own_zone),
            digest,
            ready: true,
            observations: (0..64).map(observation).collect(),
            demand: (0..50).map(demand).collect(),
            ..Report::default()
        }
    };
    let (mut now, mut longest_tick, mut document_count) = (Duration::ZERO, Duration::ZERO, 0);
    for number in 0..24u64 {
        now += Duration::from_millis(250);
        let unreachable_zones = if number < 12 { 0 } else { 4 };
        for n in 0..300 {
            assert!(decider.record_report(now, &format!("b{n}"), report(number, n, unreachable_zones)));
        }
        let start_time = Instant::now();
        if let Some(document) = decider.tick(now) {
            document_count += 1;
            decider.accepted(&document);
        }
        longest_tick = longest_tick.max(start_time.elapsed());
    }
    let plan = &decider.document().plan;
    println!("longest of 24 ticks: {longest_tick:?}; {document_count} documents, {} rows", plan.rows.len());
    assert!(
        !plan.rows.is_empty() && plan.rows.iter().all(|row| (0..4).all(|zone| row.part(Zone(zone)) == 0))
    );
    assert!(
        longest_tick < Duration::from_millis(if cfg!(debug_assertions) { 8000 } else { 1000 }),
        "longest tick: {longest_tick:?}"
    );
}

//! Without the lease: a zone that is gone is not tried out again and again.

use maplehook_failover::{BalancerRouting, Demand, ZoneObservation};
use maplehook_locality::{Rules, Topology, Zone};
use std::time::Duration;

/// How often a balancer of the first zone, out of touch, sends its clients back to upstreams that are gone, in four minutes; and how
/// many of its requests went there once it had found out.
fn tries(gone: bool) -> (usize, f64) {
    let topology = Topology::new([("north", vec!["a", "b"])]).unwrap();
    let mut acting = BalancerRouting::new(topology, Rules::near_first(1, 1), Zone(0), Duration::ZERO);
    let (mut sends, mut tries, mut part, mut wasted) = (true, 0, 1.0, 0.0);
    for n in 0..1200u32 {
        let now = Duration::from_millis(200) * n;
        let sent = 20.0 * part as f32;
        let (ok, unreached) = if gone { (0.0, sent) } else { (sent, 0.0) };
        let own = ZoneObservation {
            listed: 100.0,
            usable: 100.0,
            stated: true,
            sent,
            ok,
            unreached,
            ..ZoneObservation::default()
        };
        let other = ZoneObservation { zone: Zone(1), sent: 1.0, ok: 1.0, unreached: 0.0, ..own };
        let demand = Demand { rule: 0, asked: 20.0, rejected: 0.0 };
        let acts = acting.tick(now, false, &[own, other], &[demand]);
        let before = sends;
        part = acts.rules[0].to.iter().find(|(zone, _)| *zone == Zone(0)).map_or(0.0, |(_, part)| *part);
        sends = part > 0.0;
        tries += usize::from(sends && !before);
        wasted += if tries > 0 { part * 20.0 * 0.2 } else { 0.0 };
    }
    (tries, wasted)
}

#[test]
fn what_is_gone_is_tried_less_and_less_often() {
    assert_eq!(tries(false), (0, 0.0));
    // Every 6 s it would be 39 times.
    let (tries, wasted) = tries(true);
    assert!((2..=6).contains(&tries), "{tries}");
    // A tenth of the 20 a second, for the look that tells.
    assert!(wasted <= 2.0 * 0.4 * tries as f64 + 1e-9, "{wasted} in {tries}");
}

#[test]
fn what_is_back_is_tried_with_a_little_and_then_has_all() {
    let topology = Topology::new([("north", vec!["a", "b"])]).unwrap();
    let mut acting = BalancerRouting::new(topology, Rules::near_first(1, 1), Zone(0), Duration::ZERO);
    let (mut part, mut parts) = (1.0, Vec::new());
    for n in 0..100u32 {
        let sent = 100.0 * part as f32;
        let (ok, unreached) = if n < 20 { (0.0, sent) } else { (sent, 0.0) };
        let own = ZoneObservation {
            listed: 100.0,
            usable: 100.0,
            stated: true,
            sent,
            ok,
            unreached,
            ..ZoneObservation::default()
        };
        let other = ZoneObservation { zone: Zone(1), sent: 1.0, ok: 1.0, unreached: 0.0, ..own };
        let demand = Demand { rule: 0, asked: 100.0, rejected: 0.0 };
        let acts = acting.tick(Duration::from_millis(200) * n, false, &[own, other], &[demand]);
        part = acts.rules[0].to.iter().find(|(zone, _)| *zone == Zone(0)).map_or(0.0, |(_, part)| *part);
        if parts.last() != Some(&part) {
            parts.push(part);
        }
    }
    assert_eq!(parts, [1.0, 0.0, 0.1, 1.0]);
}

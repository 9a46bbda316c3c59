//! Trials of an unreachable zone by a balancer without the lease: they get rarer and use little traffic.

use maplehook_failover::{BalancerRouting, Demand, ZoneObservation};
use maplehook_locality::{Rules, Topology, Zone};
use std::time::Duration;

/// Runs a disconnected balancer of zone a for four minutes, with zone a unreachable or healthy. Returns the
/// number of times that the balancer resumes sending to zone a, and the number of requests that it sends
/// there from the first time on.
fn count_trials(is_unreachable: bool) -> (usize, f64) {
    let topology = Topology::new([("north", vec!["a", "b"])]).unwrap();
    let mut balancer = BalancerRouting::new(topology, Rules::near_first(1, 1), Zone(0), Duration::ZERO);
    let (mut sends_to_zone_a, mut trials, mut zone_a_share, mut wasted_requests) = (true, 0, 1.0, 0.0);
    for n in 0..1200u32 {
        let now = Duration::from_millis(200) * n;
        let sent = 20.0 * zone_a_share as f32;
        let (ok, unreached) = if is_unreachable { (0.0, sent) } else { (sent, 0.0) };
        let zone_a = ZoneObservation {
            listed: 100.0,
            usable: 100.0,
            stated: true,
            sent,
            ok,
            unreached,
            ..ZoneObservation::default()
        };
        let zone_b = ZoneObservation { zone: Zone(1), sent: 1.0, ok: 1.0, unreached: 0.0, ..zone_a };
        let demand = Demand { rule: 0, asked: 20.0, rejected: 0.0 };
        let routing = balancer.tick(now, false, &[zone_a, zone_b], &[demand]);
        let sent_before = sends_to_zone_a;
        zone_a_share =
            routing.rules[0].to.iter().find(|(zone, _)| *zone == Zone(0)).map_or(0.0, |(_, share)| *share);
        sends_to_zone_a = zone_a_share > 0.0;
        trials += usize::from(sends_to_zone_a && !sent_before);
        wasted_requests += if trials > 0 { zone_a_share * 20.0 * 0.2 } else { 0.0 };
    }
    (trials, wasted_requests)
}

#[test]
fn trials_of_an_unreachable_zone_back_off() {
    assert_eq!(count_trials(false), (0, 0.0));
    // Without backoff, a trial every 6 s would give 39 trials.
    let (trials, wasted_requests) = count_trials(true);
    assert!((2..=6).contains(&trials), "expected 2 to 6 trials, counted {trials}");
    // Each trial sends a tenth of the 20 requests per second, until a tick observes the failures.
    assert!(
        wasted_requests <= 2.0 * 0.4 * trials as f64 + 1e-9,
        "{wasted_requests} requests sent in {trials} trials"
    );
}

#[test]
fn recovered_zone_gets_a_trial_share_and_then_all_traffic() {
    let topology = Topology::new([("north", vec!["a", "b"])]).unwrap();
    let mut balancer = BalancerRouting::new(topology, Rules::near_first(1, 1), Zone(0), Duration::ZERO);
    let (mut zone_a_share, mut zone_a_shares) = (1.0, Vec::new());
    for n in 0..100u32 {
        let sent = 100.0 * zone_a_share as f32;
        let (ok, unreached) = if n < 20 { (0.0, sent) } else { (sent, 0.0) };
        let zone_a = ZoneObservation {
            listed: 100.0,
            usable: 100.0,
            stated: true,
            sent,
            ok,
            unreached,
            ..ZoneObservation::default()
        };
        let zone_b = ZoneObservation { zone: Zone(1), sent: 1.0, ok: 1.0, unreached: 0.0, ..zone_a };
        let demand = Demand { rule: 0, asked: 100.0, rejected: 0.0 };
        let routing = balancer.tick(Duration::from_millis(200) * n, false, &[zone_a, zone_b], &[demand]);
        zone_a_share =
            routing.rules[0].to.iter().find(|(zone, _)| *zone == Zone(0)).map_or(0.0, |(_, share)| *share);
        if zone_a_shares.last() != Some(&zone_a_share) {
            zone_a_shares.push(zone_a_share);
        }
    }
    assert_eq!(zone_a_shares, [1.0, 0.0, 0.1, 1.0]);
}

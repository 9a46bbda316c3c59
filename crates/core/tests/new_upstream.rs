//! Load on a new upstream from many balancers together.

mod common;
use common::{endpoint, ms, settings_with_all_effects};
use maplehook_core::*;
use std::time::Duration;

/// A new upstream has no requests in flight, so all balancers prefer it at once. In any overload window, all
/// balancers together must not send it more requests than the configured multiple of its current capacity.
#[test]
fn a_new_upstream_is_not_overloaded_by_all_balancers_together() {
    for (many_balancers, balancers) in [(false, 20), (true, 400)] {
        let mut settings = settings_with_all_effects(true, many_balancers, true, 4);
        settings.balancers = balancers;
        settings.has_endpoint_discovery = false;
        (settings.slow_start_min_share, settings.slow_start_window) = (0.1, ms(20_000));
        (settings.overload_multiple, settings.overload_window) = (3.0, ms(2000));
        settings.tenants = vec![Tenant { allowance_per_s: 700.0 }];
        let mut harnesses: Vec<_> =
            (0..balancers).map(|_| common::Harness::new(settings.clone(), &initial_fleet())).collect();
        for (k, harness) in harnesses.iter_mut().enumerate() {
            let settings = Settings { index: k as u32, ..settings.clone() };
            harness.balancer = Balancer::new(settings, k as u64).unwrap();
            harness.timers.clear();
            harness.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &initial_fleet() });
        }
        // Each of the ten initial upstreams serves 100 requests per second, so their load is 70 %. Every
        // answer takes 20 ms.
        let (rate_per_s, new_upstream) = (700u64, UpstreamId(99));
        let mut attempts_to_new_upstream: Vec<Duration> = Vec::new();
        let mut requests: Vec<(usize, RequestId, usize, Duration)> = Vec::new();
        for step in 0..(12_000 * rate_per_s / 1000) {
            let now = Duration::from_micros(step * 1_000_000 / rate_per_s);
            let k = (step as usize * 7919) % harnesses.len();
            for harness in &mut harnesses {
                harness.advance(now.saturating_sub(harness.now));
                if step == 3 * rate_per_s {
                    let mut new_endpoint = endpoint(99);
                    new_endpoint.started = Some(now);
                    harness.handle(Event::EndpointUpdate {
                        scope: UpdateScope::Changes,
                        endpoints: &[new_endpoint],
                    });
                }
                for upstream in std::mem::take(&mut harness.probes) {
                    let in_flight = if upstream == new_upstream { 0.0 } else { 2.0 };
                    let (outcome, latency, report) = (Outcome::Ok, ms(1), &[in_flight][..]);
                    harness.handle(Event::ProbeEnded { upstream, outcome, latency, report });
                }
            }
            let harness = &mut harnesses[k];
            let id = harness.send_request(0, 0, ms(600));
            requests.push((k, id, 0, now));
            requests.retain_mut(|(k, id, attempt, sent_at)| {
                let harness = &mut harnesses[*k];
                while let Some((at, upstream)) =
                    harness.attempts.get(id).and_then(|s| s.get(*attempt)).copied()
                {
                    if now < at + ms(20) {
                        return true;
                    }
                    if upstream == new_upstream {
                        attempts_to_new_upstream.push(at);
                    }
                    harness.end_attempt(*id, *attempt, Outcome::Ok);
                    *attempt += 1;
                }
                now < *sent_at + ms(100) && !harness.results.contains_key(id)
            });
        }
        attempts_to_new_upstream.sort();
        assert!(
            attempts_to_new_upstream.len() > 10,
            "the new upstream received only {} requests during slow start",
            attempts_to_new_upstream.len()
        );
        for (k, from) in attempts_to_new_upstream.iter().enumerate() {
            let count =
                attempts_to_new_upstream[k..].iter().take_while(|at| **at < *from + ms(2000)).count() as f64;
            let age_s = from.saturating_sub(Duration::from_secs(3)).as_secs_f64();
            let capacity_per_s = 100.0 * (0.1 + 0.9 * ((age_s + 1.0) / 20.0).min(1.0));
            let limit = 3.0 * capacity_per_s * 2.0;
            assert!(
                count <= limit,
                "{count} requests in the two seconds from {from:?}, at most {limit} are allowed"
            );
        }
    }
}

fn initial_fleet() -> Vec<Endpoint> {
    (1..=10).map(endpoint).collect()
}

//! What many balancers together send to an upstream that has just started.

mod common;
use common::{listed, ms, settings_with_all_effects};
use maplehook_core::*;
use std::time::Duration;

/// Many balancers at once must not send a newcomer more than the stated multiple of what it can do in any window,
/// though it is empty and the others are not.
#[test]
fn a_newcomer_is_not_pushed_over_by_all_balancers_together() {
    for (sparse, balancers) in [(false, 20), (true, 400)] {
        let mut set = settings_with_all_effects(true, sparse, true, 4);
        set.balancers = balancers;
        set.has_endpoint_discovery = false;
        (set.slow_start_min_share, set.slow_start_window) = (0.1, ms(20_000));
        (set.overload_multiple, set.overload_window) = (3.0, ms(2000));
        set.tenants = vec![Tenant { allowance_per_s: 700.0 }];
        let mut all: Vec<_> = (0..balancers).map(|_| common::Bench::new(set.clone(), &old_fleet())).collect();
        for (k, b) in all.iter_mut().enumerate() {
            let set = Settings { index: k as u32, ..set.clone() };
            b.balancer = Balancer::new(set, k as u64).unwrap();
            b.timers.clear();
            b.tell(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &old_fleet() });
        }
        // Ten warm upstreams that can each do 100 a second, loaded to seven tenths; every answer takes 20 ms.
        let (rate, new) = (700u64, UpstreamId(99));
        let mut cold: Vec<Duration> = Vec::new();
        let mut open: Vec<(usize, RequestId, usize, Duration)> = Vec::new();
        for step in 0..(12_000 * rate / 1000) {
            let now = Duration::from_micros(step * 1_000_000 / rate);
            let k = (step as usize * 7919) % all.len();
            for b in &mut all {
                b.run(now.saturating_sub(b.now));
                if step == 3 * rate {
                    let mut newcomer = listed(99);
                    newcomer.started = Some(now);
                    b.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[newcomer] });
                }
                for upstream in std::mem::take(&mut b.probes) {
                    let held = if upstream == new { 0.0 } else { 2.0 };
                    let (outcome, latency, report) = (Outcome::Ok, ms(1), &[held][..]);
                    b.tell(Event::ProbeEnded { upstream, outcome, latency, report });
                }
            }
            let b = &mut all[k];
            let id = b.request(0, 0, ms(600));
            open.push((k, id, 0, now));
            open.retain_mut(|(k, id, seen, since)| {
                let b = &mut all[*k];
                while let Some((at, upstream)) = b.sent.get(id).and_then(|s| s.get(*seen)).copied() {
                    if now < at + ms(20) {
                        return true;
                    }
                    if upstream == new {
                        cold.push(at);
                    }
                    b.ended(*id, *seen, Outcome::Ok);
                    *seen += 1;
                }
                now < *since + ms(100) && !b.answers.contains_key(id)
            });
        }
        cold.sort();
        assert!(cold.len() > 10, "the newcomer is warmed up by work: {}", cold.len());
        for (k, from) in cold.iter().enumerate() {
            let window = cold[k..].iter().take_while(|at| **at < *from + ms(2000)).count() as f64;
            let age = from.saturating_sub(Duration::from_secs(3)).as_secs_f64();
            let can = 100.0 * (0.1 + 0.9 * ((age + 1.0) / 20.0).min(1.0));
            let budget = 3.0 * can * 2.0;
            assert!(window <= budget, "{window} in two seconds from {from:?}, {budget} push it over");
        }
    }
}

fn old_fleet() -> Vec<Endpoint> {
    (1..=10).map(listed).collect()
}

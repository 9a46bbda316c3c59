//! State stays bounded, and a balancer finds its way back from having admitted nothing.

mod common;
use common::*;
use maplehook_core::*;
use std::collections::VecDeque;
use std::time::Duration;

fn settings() -> Settings {
    Settings {
        classes: vec![class(400, 1000, Effect::Idempotent)],
        tenants: vec![Tenant { allowance_per_s: 50.0 }],
        ..Settings::default()
    }
}

/// A fleet replaced again and again: those gone leave, and turns keep going to those that are there.
#[test]
fn churn_leaves_no_trace_in_the_turns() {
    let mut bench = Bench::new(settings(), &(1..=4).map(listed).collect::<Vec<_>>());
    for round in 1..200u64 {
        let fleet: Vec<_> = (4 * round..4 * round + 4).map(listed).collect();
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &fleet });
        bench.run(ms(200));
        let id = bench.request(0, 0, ms(1000));
        if let Some(upstream) = bench.at(id, 0) {
            assert!(fleet.iter().any(|l| l.id == upstream), "{upstream:?} is gone");
            bench.ended(id, 0, Outcome::Ok);
        }
    }
    let held = bench.balancer.state_entries();
    assert!(held <= 40, "{held} entries after a hundred fleets of four");
}

#[test]
fn ended_requests_are_released() {
    let mut bench = Bench::new(settings(), &(1..=4).map(listed).collect::<Vec<_>>());
    bench.traffic(2000, ms(20), |_| Some(Outcome::Ok));
    bench.run(ms(2000));
    let held = bench.balancer.state_entries();
    assert!(held <= 20, "{held} entries after two thousand requests");
}

/// Everything timed out for a while, so that nothing was admitted any more: it must not stay so.
#[test]
fn a_balancer_that_refuses_all_comes_back() {
    let mut s = settings();
    s.balancers = 500;
    s.tenants = vec![Tenant { allowance_per_s: 1000.0 }];
    let mut bench = Bench::new(s, &(1..=40).map(listed).collect::<Vec<_>>());
    let mut phase = |outcome: Outcome, latency: u64, rounds: usize| {
        let (mut tried, mut served) = (0, 0);
        for _ in 0..rounds {
            let id = bench.request(0, 0, ms(1000));
            bench.run(ms(latency));
            let mut k = 0;
            while bench.at(id, k).is_some() {
                bench.ended(id, k, outcome);
                tried += 1;
                k += 1;
            }
            served += usize::from(bench.answers.get(&id) == Some(&"served"));
            bench.run(ms(200));
        }
        (tried, served)
    };
    phase(Outcome::Ok, 50, 50);
    phase(Outcome::TimedOut, 990, 60);
    phase(Outcome::Ok, 50, 100);
    let (_, served) = phase(Outcome::Ok, 50, 50);
    assert!(served >= 40, "{served} of 50 served long after the jam");
}

/// Guards a large fleet, of which only a part is weighed at each tick, against other decisions than a small one's:
/// the same traffic for each upstream, over what it can do, is refused to the same share; a newcomer gets its few
/// turns and no more.
#[test]
fn a_large_fleet_is_weighed_as_a_small_one() {
    let share = |n: u64, gap_us: u64| {
        let tenants = vec![Tenant { allowance_per_s: 0.1 * 1e6 / gap_us as f64 }];
        let fleet: Vec<_> = (1..=n).map(listed).collect();
        let mut bench = Bench::new(Settings { tenants, ..settings() }, &fleet);
        let (mut out, mut refused, mut asked) = (VecDeque::new(), 0, 0);
        let mut due = Duration::ZERO;
        let count = Duration::from_secs(4).as_micros() as u64 / gap_us;
        for k in 0..count {
            // Quick at first, then at the end of the aim of 400 ms.
            let id = bench.request(0, 0, ms(1000));
            if bench.at(id, 0).is_some() {
                out.push_back((bench.now + ms(if k > count / 2 { 390 } else { 20 }), id));
            } else if k > count / 2 {
                refused += 1;
            }
            asked += u64::from(k > count / 2);
            due += Duration::from_micros(gap_us);
            let late = due.saturating_sub(bench.now);
            bench.run(late);
            while out.front().is_some_and(|(at, _)| *at <= bench.now) {
                let (_, id) = out.pop_front().unwrap();
                bench.ended(id, 0, Outcome::Ok);
            }
        }
        let newcomer = listed(1_000_000);
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[newcomer] });
        let before = bench.attempts_at(UpstreamId(1_000_000));
        bench.traffic(200, Duration::from_micros(gap_us), |_| Some(Outcome::Ok));
        let first = bench.attempts_at(UpstreamId(1_000_000)) - before;
        assert!(first <= 3, "{first} of 200 at once to a newcomer among {n}");
        refused as f64 / asked as f64
    };
    // The same for each upstream: 400 and 3,200 of them.
    let (small, large) = (share(400, 400), share(3200, 50));
    assert!(small > 0.02, "it is not too much for the small one: {small}");
    assert!(
        (small - large).abs() < 0.1,
        "{small} of the small fleet's and {large} of the large one's are refused"
    );
}

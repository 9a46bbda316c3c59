//! State stays bounded, and a balancer finds its way back from having admitted nothing.

mod common;
use common::*;
use lapisroute::*;

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
        bench.tell(Event::Fleet { scope: FleetScope::Full, listed: &fleet });
        bench.run(ms(200));
        let id = bench.request(0, 0, ms(1000));
        if let Some(upstream) = bench.at(id, 0) {
            assert!(fleet.iter().any(|l| l.id == upstream), "{upstream:?} is gone");
            bench.ended(id, 0, Outcome::Ok);
        }
    }
    let held = bench.balancer.entries();
    assert!(held <= 40, "{held} entries after a hundred fleets of four");
}

#[test]
fn ended_requests_are_released() {
    let mut bench = Bench::new(settings(), &(1..=4).map(listed).collect::<Vec<_>>());
    bench.traffic(2000, ms(20), |_| Some(Outcome::Ok));
    bench.run(ms(2000));
    let held = bench.balancer.entries();
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

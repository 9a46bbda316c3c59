//! The emulator against formulas: queues of one and of several servers, general service times, loss, and the tails of
//! the better of two. And that it is the same each time.

use maplehook_core::{Class, Effect};
use maplehook_simulator::policies::named;
use maplehook_simulator::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn class() -> Class {
    Class {
        latency_objective: Duration::from_secs(3000),
        deadline: Duration::from_secs(3000),
        effect: Effect::AtMostOnce,
        ..Class::default()
    }
}

/// A world in which each server takes 10 ms on average.
fn world(stations: usize, servers: usize, queue: usize, load: f64, service: Time) -> World {
    World {
        lasts: Duration::from_secs(2000),
        settles: Duration::from_secs(50),
        stations: vec![Station::new(servers, queue, service); stations],
        network: Network {
            near: Time::Fixed(Duration::ZERO),
            far: Time::Fixed(Duration::ZERO),
            connections: None,
        },
        classes: vec![class()],
        shares: vec![1.0],
        streams: vec![poisson(load * (stations * servers) as f64 * 100.0)],
        seed: 7,
        ..World::default()
    }
}

fn poisson(rate: f64) -> Stream {
    Stream { rate, tenant: None, shape: Shape::Poisson }
}

fn by(policy: &str, world: &World) -> Report {
    run(world, &named(policy).unwrap().make).unwrap()
}

fn played(world: &World) -> Report {
    by("round_robin", world)
}

/// Erlang's B: the share that finds all servers busy where nobody may wait.
fn erlang_b(servers: usize, offered: f64) -> f64 {
    (1..=servers).fold(1.0, |b, n| offered * b / (n as f64 + offered * b))
}

/// Erlang's C: the share that has to wait.
fn erlang_c(servers: usize, offered: f64) -> f64 {
    let (b, use_of) = (erlang_b(servers, offered), offered / servers as f64);
    b / (1.0 - use_of * (1.0 - b))
}

fn near(got: f64, expected: f64, within: f64, what: &str) {
    assert!((got - expected).abs() <= within * expected, "{what}: {got} instead of {expected}");
}

/// M/M/1 and M/M/c, by Erlang's C; M/G/1, by Pollaczek and Khinchine. The means of so many requests lie within a few
/// hundredths of the formula, at 0.95 within a fifth, since waits there hang together for long.
#[test]
fn queues_wait_as_the_formulas_say() {
    let mean = 10.0 * MS.as_secs_f64();
    for (load, within) in [(0.5, 0.05), (0.8, 0.08), (0.95, 0.2)] {
        for servers in [1, 4] {
            let report = played(&world(1, servers, usize::MAX, load, Time::Exponential(10 * MS)));
            let offered = load * servers as f64;
            let expected = erlang_c(servers, offered) * mean / (servers as f64 * (1.0 - load));
            near(report.waited.mean() / 1e6, expected, within, &format!("M/M/{servers} at {load}"));
            near(
                report.worked.as_secs_f64() / (report.lasted.as_secs_f64() * servers as f64),
                load,
                0.03,
                "use",
            );
        }
        // The second moment, over the square of the mean.
        for (service, moment) in [
            (Time::Fixed(10 * MS), 1.0),
            (Time::LogNormal(10 * MS, 0.5), (0.25_f64).exp()),
            (Time::Bimodal(5 * MS, 55 * MS, 0.1), (0.9 * 25.0 + 0.1 * 3025.0) / 100.0),
        ] {
            let report = played(&world(1, 1, usize::MAX, load, service.clone()));
            let expected = load * mean * moment / (2.0 * (1.0 - load));
            near(report.waited.mean() / 1e6, expected, within, &format!("M/G/1 of {service:?} at {load}"));
        }
    }
}

/// Erlang's loss, which holds for any service time.
#[test]
fn full_stations_lose_as_the_formula_says() {
    for load in [0.5, 0.8, 0.95] {
        for service in [Time::Exponential(10 * MS), Time::Fixed(10 * MS), Time::Pareto(10 * MS, 2.5)] {
            let report = played(&world(1, 5, 0, load, service.clone()));
            let share = report.full as f64 / report.asked as f64;
            near(share, erlang_b(5, load * 5.0), 0.06, &format!("{service:?} at {load}"));
            assert_eq!((report.refused, report.failed), (report.full, 0));
        }
    }
}

/// The better of two at random: with many upstreams the share that finds k or more is load to the power of 2^k - 1
/// (Mitzenmacher; Vvedenskaya et al.), where random choice has load to the power of k.
#[test]
fn the_better_of_two_has_short_tails() {
    let (load, stations) = (0.8, 200);
    let mut world = world(stations, 1, usize::MAX, load, Time::Exponential(10 * MS));
    (world.lasts, world.settles) = (Duration::from_secs(40), Duration::from_secs(5));
    let (better, random) = (by("better_of_two", &world), by("random", &world));
    // By Little's law from the mean of the number at one upstream: the sum of those shares.
    let held = |power: fn(i32) -> i32| (1..30).map(|k| load.powi(power(k).min(1000))).sum::<f64>();
    let sojourn = |held: f64| held / (load * 100.0);
    near(
        better.latency.mean() / 1e6,
        sojourn(held(|k| 2_i32.saturating_pow(k as u32) - 1)),
        0.04,
        "two choices",
    );
    near(random.latency.mean() / 1e6, sojourn(load / (1.0 - load)), 0.06, "random");
}

/// The real module, several of it, with a network and limits: the same seed is the same run to the last event, another
/// is another; every request has one answer, and nothing that must not runs twice.
#[test]
fn the_same_seed_is_the_same_run() {
    let mut world = world(40, 2, 8, 0.9, Time::LogNormal(10 * MS, 1.0));
    (world.lasts, world.settles, world.balancers) = (Duration::from_secs(20), Duration::from_secs(2), 6);
    world.network.near = Time::Exponential(MS);
    world.allowance = world.streams[0].rate;
    let wanted =
        |effect| Class { latency_objective: 200 * MS, deadline: 1000 * MS, effect, ..Class::default() };
    world.classes = vec![wanted(Effect::AtMostOnce), wanted(Effect::Idempotent)];
    world.shares = vec![0.5, 0.5];
    let first = by("maplehook", &world);
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let world = world.clone();
            std::thread::spawn(move || by("maplehook", &world).digest)
        })
        .collect();
    assert!(threads.into_iter().all(|thread| thread.join().unwrap() == first.digest));
    let other = World { seed: 8, ..world.clone() };
    assert_ne!(by("maplehook", &other).digest, first.digest);
    assert_eq!(first.served + first.refused + first.failed, first.asked);
    assert_eq!(first.breaches.sum(), 0, "{:?}", first.breaches);
    assert!(first.in_time as f64 > 0.8 * first.asked as f64, "{first:?}");
}

/// Guards the experimenter: a world that can't be is named, one that jams says so and ends.
#[test]
fn worlds_that_cannot_be_are_refused() {
    let good = world(1, 1, 1, 0.5, Time::Fixed(MS));
    let make = named("random").unwrap().make;
    for (wrong, named) in [
        (World { balancers: 0, ..good.clone() }, "balancer"),
        (World { stations: Vec::new(), ..good.clone() }, "upstream"),
        (World { shares: Vec::new(), ..good.clone() }, "share for each class"),
        (World { streams: vec![poisson(0.0)], ..good.clone() }, "rate"),
        (World { tenants: 0, ..good.clone() }, "tenant"),
    ] {
        let said = run(&wrong, &make).unwrap_err().to_string();
        assert!(said.contains(named), "{said}");
    }
}

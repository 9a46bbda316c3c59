//! The load tool on real sockets: it shows a stall in full, and what it asks is the emulator's own.

mod common;

use common::*;
use maplehook_core::Effect;
use maplehook_simulator::load::{Target, run, schedule};
use maplehook_simulator::*;
use maplehook_test_servers::station::Station as Real;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;

fn asked(world: &World, station: &Real) -> load::Loaded {
    let url = format!("http://{}/desk", station.address());
    let target = Target::new(&url, vec!["look".into()]).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(run(world, target, &AtomicBool::new(false), &|_, _| {})).unwrap()
}

fn world(rate: f64) -> World {
    let mut world = small(1, Effect::Idempotent);
    (world.lasts, world.classes[0].deadline) = (4 * S, 10 * S);
    world.streams = vec![Stream { rate, tenant: None, shape: Shape::Even }];
    world
}

/// Guards against coordinated omission: of 800 requests in 4 s those of the second in which the server stands still are
/// a quarter, and wait from nothing to all of it. A tool that waits for its answers would show a handful.
#[test]
fn a_stall_shows_in_full() {
    let station = std::sync::Arc::new(Real::start(1000, 0, || 20 * MS));
    let paused = std::sync::Arc::clone(&station);
    let pause = std::thread::spawn(move || {
        std::thread::sleep(1500 * MS);
        paused.pause(true);
        std::thread::sleep(S);
        paused.pause(false);
    });
    let loaded = asked(&world(200.0), &station);
    pause.join().unwrap();
    assert_eq!((loaded.planned, loaded.unsent, loaded.broken), (799, 0, 0), "{loaded:?}");
    assert_eq!(loaded.statuses, BTreeMap::from([(200, 799)]));
    let at = |name: &str| loaded.quantiles_ms[name];
    assert!(at("p50") >= 20.0, "{loaded:?}");
    // A tenth of all waits more than 0.6 s: 0.2 of those of the second, and machines are late at times.
    assert!(at("p90") > 500.0 && at("max") > 900.0, "{loaded:?}");
    assert!(loaded.in_time < 0.85, "{loaded:?}");
}

/// Refusals, and no answer at all, are told apart from answers.
#[test]
fn what_is_refused_or_lost_is_told() {
    let station = Real::start(1, 0, || 50 * MS);
    let loaded = asked(&world(100.0), &station);
    let of = |status| loaded.statuses.get(&status).copied().unwrap_or(0);
    assert_eq!(of(200) + of(503), loaded.planned, "{loaded:?}");
    assert!(of(200) >= 30 && of(503) >= 200, "{loaded:?}");
    let mut gone = Real::start(1, 0, || MS);
    gone.kill();
    let loaded = asked(&World { lasts: S / 2, ..world(50.0) }, &gone);
    assert_eq!(loaded.broken, loaded.planned);
    for url in ["https://127.0.0.1:1/", "http://example.org/", "nothing"] {
        assert!(Target::new(url, Vec::new()).is_err(), "{url}");
    }
}

/// The tool asks just what the emulator's clients ask: the same number in the same time, by class and tenant.
#[test]
fn the_schedule_is_the_worlds() {
    let mut world = small(4, Effect::Idempotent);
    world.classes.push(world.classes[0].clone());
    (world.shares, world.tenants, world.zipf) = (vec![3.0, 1.0], 4, 1.0);
    world.streams = vec![Stream {
        rate: 1.0,
        tenant: None,
        shape: Shape::Mmpp { rates: vec![100.0, 900.0], hold: 500 * MS },
    }];
    world.lasts = 60 * S;
    let planned = schedule(&world);
    assert_eq!(planned, schedule(&world));
    assert!(planned.is_sorted_by_key(|p| p.at) && planned.last().unwrap().at < world.lasts);
    let asked = by("round_robin", &world).asked as f64;
    // A rate that changes by itself: over a minute the two draws differ by some tenths at the most.
    assert!((planned.len() as f64 / asked - 1.0).abs() < 0.4, "{} {asked}", planned.len());
    let share = planned.iter().filter(|p| p.class == 0).count() as f64 / planned.len() as f64;
    assert!((share - 0.75).abs() < 0.02, "{share}");
    let first = planned.iter().filter(|p| p.tenant == 0).count() as f64 / planned.len() as f64;
    assert!((first - 0.48).abs() < 0.02, "by Zipf, 1 of 1 + 1/2 + 1/3 + 1/4: {first}");
}

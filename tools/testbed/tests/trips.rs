//! Round trips between zones, measured by real processes: they are agreed on, a rule's step follows them after its time, and back.
//!
//! `cargo build -p maplehook-proxy && cargo test -p maplehook-testbed --features places --test trips`

use maplehook_failover::rtt::HOLD_TIME;
use maplehook_testbed::places::storm::comes_together;
use maplehook_testbed::places::{Front, Map, Scene};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The longest wait for anything.
const LONG: Duration = Duration::from_secs(60);
/// What the rule takes for near, and how much longer one direction gets.
const WITHIN_MS: f64 = 25.0;
const SLOWER: Duration = Duration::from_millis(60);

fn program() -> PathBuf {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_maplehook-testbed")).with_file_name("maplehook");
    assert!(program.exists(), "{} has to be built first", program.display());
    program
}

/// How long the way between two zones is, as a balancer shows it.
fn trip(scene: &Scene, n: usize, a: &str, b: &str) -> Option<f64> {
    let shown = scene.shown(n);
    let trips = shown["trips"].as_array()?;
    let of = trips.iter().find(|trip| trip["a"] == a && trip["b"] == b)?;
    assert_eq!(of["stated"], false);
    of["ms"].as_f64()
}

/// What a balancer sends to a zone, as a part of all.
fn share(scene: &Scene, n: usize, zone: &str) -> f64 {
    let shown = scene.shown(n);
    let to = shown["acts"][0]["to"].as_array().cloned().unwrap_or_default();
    to.iter().filter(|to| to["zone"] == zone).filter_map(|to| to["share"].as_f64()).sum()
}

/// Waits for it; says how long that took.
fn until(scene: &Scene, what: &str, mut holds: impl FnMut(&Scene) -> bool) -> Duration {
    let begun = Instant::now();
    if scene.world.until(LONG, |_| holds(scene)).is_none() {
        let shown: Vec<String> = (0..scene.world.len()).map(|n| scene.shown(n).to_string()).collect();
        panic!("in vain: {what}:\n{}", shown.join("\n"));
    }
    begun.elapsed()
}

/// Both balancers of the north send to both of its zones, or each to its own alone.
fn spread(scene: &Scene, both: bool) -> bool {
    let there = [share(scene, 0, "b"), share(scene, 1, "a")];
    if both { there.iter().all(|part| *part > 0.2) } else { there.iter().all(|part| *part == 0.0) }
}

#[test]
fn a_step_follows_a_way_that_is_measured_after_its_time_and_back() {
    let mut map = Map::new(1, 40.0);
    map.rules = format!("rule all {{\n  prefer own region within {WITHIN_MS}ms > anywhere;\n}}\n");
    let scene = Scene::start(map.setup(&program(), 4), 11, Front::Routers).unwrap();
    comes_together(&scene, true, Front::Routers).unwrap();
    // Nobody has stated a way: each zone is near to itself alone, until it was measured.
    until(&scene, "the ways are known to all", |scene| {
        (0..4).all(|n| {
            let ways = ["ab", "ac", "ad", "bc", "bd", "cd"].map(|way| way.split_at(1));
            ways.iter().all(|(a, b)| trip(scene, n, a, b).is_some_and(|ms| ms < WITHIN_MS))
        })
    });
    until(&scene, "the north is one step", |scene| spread(scene, true));
    // One direction is enough: both ends measure there and back.
    let slows = Instant::now();
    scene.world.between(&[0], &[1], |trouble| trouble.delay = (SLOWER, SLOWER));
    until(&scene, "each zone of the north is a step of its own", |scene| spread(scene, false));
    assert!(slows.elapsed() >= HOLD_TIME, "after {:?}", slows.elapsed());
    let slow = trip(&scene, 3, "a", "b");
    assert!(slow.is_some_and(|ms| ms >= SLOWER.as_secs_f64() * 1e3), "{slow:?}");
    assert!(trip(&scene, 0, "c", "d").is_some_and(|ms| ms < WITHIN_MS), "other ways are as they were");
    let output = scene.command(0, "places", &["status"]).unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(said.contains("round trips between zones:") && said.contains("measured"), "{said}");
    let heals = Instant::now();
    scene.world.between(&[0], &[1], |trouble| trouble.delay = (Duration::ZERO, Duration::ZERO));
    until(&scene, "the north is one step again", |scene| spread(scene, true));
    assert!(heals.elapsed() >= HOLD_TIME, "after {:?}", heals.elapsed());
}

//! Drawn faults between balancers that know each other, and what has to hold all the same.

use super::{Said, World};
use maplehook_cluster::{MemberState, MembershipEvent};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// How long faults go on.
const FAULTS: Duration = Duration::from_secs(40);

/// Within what time all see one another again after the last fault has ended.
pub fn converges_within(members: usize) -> Duration {
    // The longest pause between two calls to somebody away, a denial's longest time, and the gossip.
    let pause = Duration::from_millis((members as u64 * 250).clamp(2000, 30_000)).mul_f64(1.25);
    let denial = maplehook_cluster::PROBE_PERIOD.mul_f64(12.0 * (members as f64).log10().max(1.0));
    pause + denial + Duration::from_secs(10)
}

/// What a storm came to.
#[derive(Clone, Debug, Default)]
pub struct Storm {
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u32>,
    /// Until all saw one another again after the last fault.
    pub converged: Option<Duration>,
    /// Deaths announced of somebody who had run undisturbed for 30 s.
    pub false_deaths: u64,
    /// What does not hold.
    pub breaches: Vec<String>,
}

/// Plays one.
pub fn play(members: usize, seed: u64) -> Storm {
    let mut draw = ChaCha8Rng::seed_from_u64(seed ^ 0x5707);
    let mut world = World::new(members, seed).drifting(0.01);
    let mut storm = Storm::default();
    for n in 0..members {
        world.start(n, true);
    }
    world.play(Duration::from_secs(10));
    let end = world.now + FAULTS;
    let mut down: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut stopped: BTreeMap<usize, Duration> = BTreeMap::new();
    while world.now < end {
        world.play(world.now + Duration::from_millis(draw.random_range(200..3000)));
        let now = world.now;
        for n in due(&mut down, now) {
            world.start(n, draw.random::<f64>() < 0.7);
        }
        for n in due(&mut stopped, now) {
            world.go_on(n);
        }
        let some = |draw: &mut ChaCha8Rng, most: f64| -> Vec<usize> {
            let share = draw.random::<f64>() * most;
            (0..members).filter(|_| draw.random::<f64>() < share).collect()
        };
        let kind = match draw.random_range(0..8) {
            0 => {
                for n in some(&mut draw, 0.5).into_iter().filter(|n| world.runs(*n)).collect::<Vec<_>>() {
                    world.kill(n);
                    down.insert(n, now + Duration::from_millis(draw.random_range(100..12_000)));
                }
                "kill"
            }
            1 => {
                for n in some(&mut draw, 0.3).into_iter().filter(|n| world.runs(*n)).collect::<Vec<_>>() {
                    world.stop(n);
                    stopped.insert(n, now + Duration::from_millis(draw.random_range(500..10_000)));
                }
                "stop"
            }
            2 => {
                let side = some(&mut draw, 1.0);
                let rest: Vec<usize> = (0..members).filter(|n| !side.contains(n)).collect();
                world.cut(&side, &rest, true);
                "cut"
            }
            3 => {
                let (from, to) = (some(&mut draw, 0.6), some(&mut draw, 0.6));
                world.cut(&from, &to, false);
                "one-way cut"
            }
            4 => {
                world.ways.loss = 0.3 * draw.random::<f64>();
                world.ways.twice = 0.3 * draw.random::<f64>();
                "loss"
            }
            5 => {
                world.ways.delay.1 = Duration::from_millis(draw.random_range(5..600));
                "delay"
            }
            6 => {
                if let Some(n) = some(&mut draw, 0.2).into_iter().find(|n| world.runs(*n)) {
                    world.leave(n);
                    down.insert(n, now + Duration::from_millis(draw.random_range(500..8000)));
                }
                "leave"
            }
            _ => {
                world.heal();
                "heal"
            }
        };
        *storm.faults.entry(kind).or_default() += 1;
    }
    world.heal();
    down.into_keys().for_each(|n| world.start(n, true));
    stopped.into_keys().for_each(|n| world.go_on(n));
    let most = converges_within(members);
    storm.converged = world.until(most, World::agrees);
    if storm.converged.is_none() {
        storm
            .breaches
            .push(format!("not all see one another {most:?} after the last fault: {}", disagreement(&world)));
    }
    world.play(world.now + Duration::from_secs(60));
    if !world.agrees() {
        storm.breaches.push(format!("they lost one another again: {}", disagreement(&world)));
    }
    storm.false_deaths = world.counted.false_deaths;
    if storm.false_deaths > 0 {
        storm.breaches.push(format!("{} undisturbed members were declared dead", storm.false_deaths));
    }
    storm.breaches.extend(starts_fall(&world));
    if world.counted.longest > maplehook_cluster::MAX_DATAGRAM_BYTES {
        storm.breaches.push(format!("a datagram of {} bytes", world.counted.longest));
    }
    storm
}

fn due(waiting: &mut BTreeMap<usize, Duration>, now: Duration) -> Vec<usize> {
    let due: Vec<usize> = waiting.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
    waiting.retain(|n, _| !due.contains(n));
    due
}

/// A start that was seen after a later one of the same name, by the same process.
fn starts_fall(world: &World) -> Option<String> {
    let mut seen: BTreeMap<(usize, u32, &str), u64> = BTreeMap::new();
    for Said { at, by, process, event } in &world.events {
        let MembershipEvent::MemberUp(name, start) = event else { continue };
        let before = seen.entry((*by, *process, name.as_str())).or_default();
        if *start < *before {
            return Some(format!(
                "{} saw {name} go from start {before} to {start} at {at:?}",
                world.name(*by)
            ));
        }
        *before = *start;
    }
    None
}

/// Who sees what wrongly.
pub fn disagreement(world: &World) -> String {
    let mut text = String::new();
    for n in (0..world.len()).filter(|n| world.runs(*n)) {
        let wrong: Vec<String> = (0..world.len())
            .filter(|other| *other != n)
            .filter(|other| (world.holds(n, *other) == Some(MemberState::Alive)) != world.runs(*other))
            .map(|other| format!("{} {:?}", world.name(other), world.holds(n, other)))
            .collect();
        if !wrong.is_empty() && text.len() < 400 {
            let speaks = world.tier(n).is_some_and(maplehook_cluster::Cluster::is_active);
            // Writing to a string can't fail.
            let _ = write!(text, "{} (speaks: {speaks}) sees {}; ", world.name(n), wrong.join(", "));
        }
    }
    text
}

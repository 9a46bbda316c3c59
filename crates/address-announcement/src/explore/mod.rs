//! All short histories of two sites and one address that one of them may announce.

mod world;

use std::collections::BTreeMap;

use world::{Act, Broken, World};

/// What may befall the holder and whoever leads.
const HOLDER: [Act; 7] =
    [Act::Stop(0), Act::Cut(0), Act::HoldLease(0), Act::HoldPoll(0), Act::HoldCommit, Act::Kill, Act::Move];
/// What may befall both sites.
const BOTH: [Act; 6] = [Act::Stop(0), Act::Cut(0), Act::Stop(1), Act::Cut(1), Act::Kill, Act::Move];
/// What may befall the log.
const ORDERS: [Act; 4] = [Act::HoldCommit, Act::Kill, Act::Move, Act::Withdraw];
/// Steps after which somebody has to announce it once all faults are over: silence, dwell, the longest lease, and what a router
/// may still hold.
const HEALS: u32 = 16;

/// What was found.
#[derive(Debug, Default)]
struct Seen {
    worlds: usize,
    steps: usize,
}

/// A world, the acts that are left, and those that led to it.
type Node = (World, u32, Vec<(u32, Act)>);

/// All histories with so many acts, however long: a world that was seen before, in what can matter, is not gone on with.
fn explore(broken: Broken, acts: u32, which: &[Act]) -> Result<Seen, String> {
    let mut steps = 0;
    let mut seen: BTreeMap<Vec<u64>, u32> = BTreeMap::new();
    let mut ends: Vec<Node> = Vec::new();
    let mut layer: Vec<Node> = vec![(World::new(broken), acts, Vec::new())];
    while !layer.is_empty() {
        let mut next: Vec<Node> = Vec::new();
        for (world, left, past) in layer {
            let chosen = which.iter().copied().map(Some).filter(|_| left > 0);
            for act in std::iter::once(None).chain(chosen) {
                let mut world = world.clone();
                let t = world.t;
                let wrong = world.step(act);
                steps += 1;
                let left = left - u32::from(act.is_some());
                let essence = world.essence();
                let known = seen.get(&essence).is_some_and(|before| *before >= left);
                if wrong.is_ok() && known {
                    continue;
                }
                let past: Vec<_> = past.iter().copied().chain(act.map(|act| (t, act))).collect();
                wrong.map_err(|wrong| format!("{past:?}: {wrong}"))?;
                if seen.insert(essence, left).is_none() {
                    ends.push((world.clone(), 0, past.clone()));
                }
                next.push((world, left, past));
            }
        }
        layer = next;
    }
    let worlds = seen.len();
    heal(ends)?;
    Ok(Seen { worlds, steps })
}

/// Once all faults are over, somebody announces it soon and goes on.
fn heal(mut worlds: Vec<Node>) -> Result<(), String> {
    worlds.iter_mut().for_each(|(world, _, _)| world.heal());
    for step in 0..HEALS + 2 {
        let mut next: BTreeMap<Vec<u64>, Node> = BTreeMap::new();
        for (mut world, _, past) in worlds {
            world.step(None).map_err(|wrong| format!("{past:?}, healed: {wrong}"))?;
            if step >= HEALS && !world.is_announced() {
                return Err(format!("{past:?}, healed: nobody announces it: {world:#?}"));
            }
            next.entry(world.essence()).or_insert((world, 0, past));
        }
        worlds = next.into_values().collect();
    }
    Ok(())
}

#[track_caller]
fn holds(acts: u32, which: &[Act], worlds: usize) {
    let seen = explore(Broken::Nothing, acts, which).unwrap();
    assert!(seen.worlds >= worlds && seen.steps > seen.worlds, "{seen:?}: was all of it explored?");
}

#[test]
fn whatever_befalls_the_holder_never_two_announce_and_one_does_again() {
    holds(3, &HOLDER, 5_000);
}

#[test]
fn whatever_befalls_both_sites_never_two_announce_and_one_does_again() {
    holds(3, &BOTH, 7_000);
}

#[test]
fn whatever_befalls_the_log_never_two_announce_and_one_does_again() {
    holds(5, &ORDERS, 600);
}

#[track_caller]
fn found(broken: Broken, acts: u32, which: &[Act]) {
    let wrong = explore(broken, acts, which).expect_err("it is broken");
    assert!(wrong.contains("both announce"), "{wrong}");
}

#[test]
fn a_leader_that_does_not_wait_is_found() {
    found(Broken::NoWait, 1, &HOLDER);
}

#[test]
fn a_lease_that_counts_from_its_answer_is_found() {
    found(Broken::LeaseFromAnswer, 3, &[Act::HoldLease(0), Act::Cut(0), Act::Move]);
}

#[test]
fn an_answer_past_the_lease_is_found() {
    found(Broken::PastLease, 1, &HOLDER);
}

#[test]
fn a_new_leader_that_takes_it_that_nobody_has_a_lease_is_found() {
    found(Broken::LeaderForgets, 3, &[Act::Kill, Act::Cut(0), Act::Move]);
}

#[test]
fn a_router_that_counts_from_the_answer_is_found() {
    found(Broken::HoldsFromAnswer, 2, &HOLDER);
}

#[test]
fn a_state_that_is_played_late_is_found() {
    found(Broken::PlaysAll, 4, &ORDERS);
}

#[test]
fn an_answer_that_is_kept_while_stopped_is_found() {
    found(Broken::CachedAnswer, 1, &HOLDER);
}

//! Three members, two sites, one address that one of them may announce, and plans that contradict each other: every order of a few
//! faults, step by step. Worlds that are the same are gone on with once.
//!
//! The agreement is taken for what it makes of itself: a log whose bodies rest on a number, leaders that grant only when a majority
//! has confirmed them after the request, leases that are counted from before they are asked for. The log, both sides of the leases,
//! the decision on the address, and what members answer and act on are the daemon's own parts. What the plan says is left open: it
//! turns round again and again.

mod leads;
mod members;
mod world;

pub use world::{Act, Flaw, World};

use rayon::prelude::*;
use std::collections::BTreeMap;

/// How far it is explored.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Acts at the most.
    pub acts: u32,
    /// Steps in which they may come.
    pub steps: u32,
    /// Which.
    pub of: Vec<Act>,
    /// Worlds at the most: it ends with an error beyond.
    pub worlds: usize,
}

/// What was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Worlds that differ, over all steps.
    pub worlds: usize,
    /// Those at the end of the acts; each of them has come to rest.
    pub ends: usize,
}

type Path = Vec<(u32, Act)>;
/// A world, the acts that are left, and those that were.
type Branch = (World, u32, Path);

/// Explores; an error tells what broke, by what acts.
pub fn explore(flaw: Option<Flaw>, bounds: &Bounds) -> Result<Seen, String> {
    let mut seen = Seen::default();
    let mut layer: Vec<Branch> = vec![(World::new(flaw)?, bounds.acts, Vec::new())];
    for _ in 0..bounds.steps {
        let stepped: Vec<Result<Vec<(u64, Branch)>, String>> =
            layer.into_par_iter().map(|one| branches(one, bounds)).collect();
        let mut next: BTreeMap<(u64, u32), Branch> = BTreeMap::new();
        for branches in stepped {
            for (digest, one) in branches? {
                next.entry((digest, one.1)).or_insert(one);
            }
        }
        seen.worlds += next.len();
        if seen.worlds > bounds.worlds {
            return Err(format!("more than {} worlds", bounds.worlds));
        }
        layer = next.into_values().collect();
    }
    seen.ends = layer.len();
    let rest = |(world, _, path): Branch| world.rest().map_err(|wrong| words(&path, &wrong));
    let rested: Vec<Result<(), String>> = layer.into_par_iter().map(rest).collect();
    rested.into_iter().collect::<Result<(), String>>().map(|()| seen)
}

fn branches((world, left, path): Branch, bounds: &Bounds) -> Result<Vec<(u64, Branch)>, String> {
    let mut all = Vec::new();
    let acts = bounds.of.iter().copied().map(Some).filter(|_| left > 0);
    for act in std::iter::once(None).chain(acts) {
        let (mut world, mut path) = (world.clone(), path.clone());
        path.extend(act.map(|act| (world.steps(), act)));
        world.step(act).map_err(|wrong| words(&path, &wrong))?;
        let left = left - u32::from(act.is_some());
        all.push((world.digest(), (world, left, path)));
    }
    Ok(all)
}

fn words(path: &Path, wrong: &str) -> String {
    let acts: Vec<String> = path.iter().map(|(at, act)| format!("{act:?} at step {at}")).collect();
    format!("{wrong}, by {}", if acts.is_empty() { "nothing".into() } else { acts.join("; ") })
}

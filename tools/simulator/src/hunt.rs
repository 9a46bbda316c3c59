//! Searches an experiment's ranges for the day on which a policy does worst, and shrinks it to what matters.

use crate::experiment::one;
use crate::file::{HuntFor, Plan};
use crate::policies::Maker;
use crate::world::World;
use maplehook_config::Faults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use toml::Value;

/// Of the loss that was found, the share that has to be left when something is taken away.
const KEPT: f64 = 0.9;
/// Of all tries, those that look near the worst found so far.
const NEAR: f64 = 0.4;
/// How far near is, in shares of a range.
const STEP: f64 = 0.15;

/// What a hunt has found.
#[derive(Clone, Debug)]
pub struct Found {
    /// What the file's own day has.
    pub usual: f64,
    /// What the worst day has.
    pub worst: f64,
    /// What is left of it after shrinking.
    pub shrunk: f64,
    /// What the worst day sets: keys and values.
    pub at: BTreeMap<String, Value>,
    /// Faults of the file that do not matter to it.
    pub needless: Vec<String>,
    /// The shrunk day as an experiment's file.
    pub text: String,
    /// Days played.
    pub played: u32,
}

struct Hunt<'a> {
    plan: &'a Plan,
    hunt: &'a HuntFor,
    make: &'a Maker<'a>,
}

impl Hunt<'_> {
    /// The measure of a day, turned so that less is worse. One that breaks off is the worst.
    fn badness(&self, world: &World) -> f64 {
        let value = one(world, self.make).map(|report| report.measures()[self.hunt.measure.as_str()]);
        value.map_or(f64::NEG_INFINITY, |v| if self.hunt.low_is_bad { v } else { -v })
    }

    fn told(&self, badness: f64) -> f64 {
        if self.hunt.low_is_bad { badness } else { -badness }
    }
}

/// Keys that were whole numbers stay so.
fn value(plan: &Plan, key: &str, number: f64) -> Value {
    let whole = Value::Integer(number.round() as i64);
    let at = BTreeMap::from([(key.to_owned(), Value::Float(number))]);
    // Floats that a key does not take are named by the reader.
    if plan.world_at(&at).is_ok() { Value::Float(number) } else { whole }
}

/// Hunts as the file says, in rounds, until its tries are spent or `stop` is set.
pub fn hunt(
    plan: &Plan,
    hunt: &HuntFor,
    make: &Maker<'_>,
    stop: &AtomicBool,
    told: &(dyn Fn(u32, f64) + Sync),
) -> Result<Found, Faults> {
    let this = Hunt { plan, hunt, make };
    let mut chance = ChaCha8Rng::seed_from_u64(plan.seed);
    let usual = this.badness(&plan.world);
    let mut worst: (f64, BTreeMap<String, Value>) = (usual, BTreeMap::new());
    let mut played = 1;
    while played < hunt.tries && !stop.load(Ordering::Relaxed) && !hunt.ranges.is_empty() {
        let round = (hunt.tries - played).min(16);
        let mut days = Vec::new();
        for _ in 0..round {
            let near = !worst.1.is_empty() && chance.random::<f64>() < NEAR;
            let mut at = BTreeMap::new();
            for (key, (least, most)) in &hunt.ranges {
                let before = worst.1.get(key).and_then(|v| v.as_float().or(v.as_integer().map(|n| n as f64)));
                let number = match before.filter(|_| near) {
                    Some(before) => before + (most - least) * STEP * (2.0 * chance.random::<f64>() - 1.0),
                    None => least + (most - least) * chance.random::<f64>(),
                };
                at.insert(key.clone(), value(plan, key, number.clamp(*least, *most)));
            }
            days.push((plan.world_at(&at)?, at));
        }
        let found: Vec<f64> = days.par_iter().map(|(world, _)| this.badness(world)).collect();
        played += round;
        for (badness, (_, at)) in found.into_iter().zip(days) {
            if badness < worst.0 {
                worst = (badness, at);
            }
        }
        told(played, this.told(worst.0));
    }
    let (shrunk, needless, at) = this.shrink(usual, &worst)?;
    let text = this.text(&at, &needless)?;
    Ok(Found {
        usual: this.told(usual),
        worst: this.told(worst.0),
        shrunk: this.told(shrunk),
        at,
        needless: needless.iter().map(|n| plan.world.faults[*n].name.clone()).collect(),
        text,
        played,
    })
}

type Shrunk = (f64, Vec<usize>, BTreeMap<String, Value>);

impl Hunt<'_> {
    /// Takes away, one after another, what the worst day sets and what goes wrong on it, as long as the loss stays.
    fn shrink(&self, usual: f64, (worst, at): &(f64, BTreeMap<String, Value>)) -> Result<Shrunk, Faults> {
        let loss = usual - worst;
        // Where nothing worse was found the day itself may still have faults that do not matter.
        let enough = |badness: f64| badness <= usual - KEPT * loss;
        let (mut at, mut needless, mut left) = (at.clone(), Vec::new(), *worst);
        for key in at.keys().cloned().collect::<Vec<_>>() {
            let mut fewer = at.clone();
            fewer.remove(&key);
            let badness = self.badness(&self.plan.world_at(&fewer)?);
            if loss > 0.0 && enough(badness) {
                (at, left) = (fewer, badness);
            }
        }
        let world = self.plan.world_at(&at)?;
        for n in (0..world.faults.len()).rev() {
            let gone = |k: &usize| needless.contains(k) || *k == n;
            let kept: Vec<_> = (0..world.faults.len()).filter(|k| !gone(k)).collect();
            let faults = kept.iter().map(|k| world.faults[*k].clone()).collect();
            let fewer = World { faults, ..world.clone() };
            if fewer.check().is_err() {
                continue;
            }
            let badness = self.badness(&fewer);
            if loss > 0.0 && enough(badness) {
                needless.push(n);
                left = badness;
            }
        }
        Ok((left, needless, at))
    }

    fn text(&self, at: &BTreeMap<String, Value>, needless: &[usize]) -> Result<String, Faults> {
        let text = self.plan.text_at(at)?;
        let Ok(mut table) = toml::from_str::<toml::Table>(&text) else { return Ok(text) };
        if let Some(Value::Array(faults)) = table.get_mut("fault") {
            let mut n = 0;
            faults.retain(|_| {
                n += 1;
                !needless.contains(&(n - 1))
            });
        }
        for section in ["hunt", "sweep", "expect"] {
            table.remove(section);
        }
        Ok(toml::to_string(&table).unwrap_or(text))
    }
}

//! Round robin, with and without weights, and random choice.

use super::Decides;
use super::peer::{Endpoints, Held, Manner, Peer, Pick, any};
use crate::world::World;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

struct RoundRobin {
    next: usize,
}

impl Pick for RoundRobin {
    fn pick(&mut self, _: Duration, to: &Endpoints, _: &Held, _: &mut ChaCha8Rng) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        to.ready.get(self.next.checked_rem(to.ready.len())?).copied()
    }
}

pub(super) fn round_robin(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    Box::new(Peer::new(world.classes.clone(), Manner::PLAIN, seed, RoundRobin { next: 0 }))
}

/// nginx's smooth weighted round robin: each gains its weight, the one that has most is taken and pays the sum.
#[derive(Default)]
struct Weighted {
    version: u64,
    credit: Vec<f64>,
}

impl Pick for Weighted {
    fn pick(&mut self, _: Duration, to: &Endpoints, held: &Held, _: &mut ChaCha8Rng) -> Option<usize> {
        if self.version != to.version || self.credit.len() != to.all.len() {
            self.credit.resize(to.all.len(), 0.0);
            self.version = to.version;
        }
        let mut total = 0.0;
        let mut best: Option<usize> = None;
        for n in to.ready.iter().copied() {
            total += to.all[n].weight;
            self.credit[n] += to.all[n].weight;
            let better = best.is_none_or(|b| self.credit[n] > self.credit[b]);
            if better && !held.tried.contains(&n) {
                best = Some(n);
            }
        }
        let best = best.or_else(|| to.ready.first().copied())?;
        self.credit[best] -= total;
        Some(best)
    }
}

pub(super) fn weighted(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    let manner = Manner { retries: 1, ..Manner::PLAIN };
    Box::new(Peer::new(world.classes.clone(), manner, seed, Weighted::default()))
}

struct Random;

impl Pick for Random {
    fn pick(&mut self, _: Duration, to: &Endpoints, held: &Held, chance: &mut ChaCha8Rng) -> Option<usize> {
        any(to, held, chance)
    }
}

pub(super) fn random(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    Box::new(Peer::new(world.classes.clone(), Manner::PLAIN, seed, Random))
}

//! Consistent hashing on a ring with bounded load: the first clockwise from a tenant's place that holds no more than
//! 1.25 times its share of what is out (Mirrokni, Thorup, Zadimoghaddam 2016; HAProxy, `hash-balance-factor`).

use super::Decides;
use super::peer::{Endpoints, Held, Manner, Peer, Pick};
use crate::world::World;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Places of each upstream on the ring.
const PLACES: u64 = 64;
const FACTOR: f64 = 1.25;

#[derive(Default)]
struct Ring {
    version: u64,
    places: Vec<(u64, usize)>,
}

fn place(of: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    of.hash(&mut hasher);
    // Spread: neighbours in, far places out (the finalizer of SplitMix64).
    let mut x = hasher.finish();
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Pick for Ring {
    fn pick(&mut self, _: Duration, to: &Endpoints, held: &Held, _: &mut ChaCha8Rng) -> Option<usize> {
        if self.version != to.version {
            self.version = to.version;
            let ready = to.ready.iter();
            let places = ready.flat_map(|at| (0..PLACES).map(move |k| (place((to.all[*at].id.0, k)), *at)));
            self.places = places.collect();
            self.places.sort_unstable();
        }
        let total: u32 = to.ready.iter().map(|at| to.all[*at].out).sum();
        let most = (FACTOR * f64::from(total + 1) / to.ready.len().max(1) as f64).ceil() as u32;
        let from = self.places.partition_point(|(p, _)| *p < place(held.tenant));
        let clockwise = (0..self.places.len()).map(|k| self.places[(from + k) % self.places.len()].1);
        let mut fit = clockwise.filter(|at| to.all[*at].out < most && !held.tried.contains(at));
        fit.next().or_else(|| to.ready.first().copied())
    }
}

pub(super) fn make(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    let manner = Manner { retries: 1, ..Manner::PLAIN };
    Box::new(Peer::new(world.classes.clone(), manner, seed, Ring::default()))
}

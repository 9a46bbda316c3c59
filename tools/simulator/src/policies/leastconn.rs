//! HAProxy's `balance leastconn` with `maxconn` and a queue (HAProxy, Configuration Manual, 4.2 "balance", 5.2
//! "maxconn", "timeout queue", "retries", "option redispatch").

use super::Decides;
use super::peer::{Endpoints, Held, Manner, Peer, Pick};
use crate::world::World;
use maplehook_core::Outcome;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Requests that may wait in all.
const QUEUE: usize = 1000;
const QUEUE_TIME: Duration = Duration::from_secs(5);

struct LeastConn {
    /// Requests that an endpoint gets at once.
    most: u32,
    version: u64,
    /// Those that are ready, by requests out over weight; of equals the one longest untaken.
    order: BTreeSet<(u64, u64, usize)>,
    place: Vec<Option<(u64, u64)>>,
    turn: u64,
}

impl LeastConn {
    fn put(&mut self, to: &Endpoints, at: usize) {
        if let Some(Some((load, turn))) = self.place.get(at).copied() {
            self.order.remove(&(load, turn, at));
            self.turn += 1;
            let load = (f64::from(to.all[at].out) / to.all[at].weight * 1e6) as u64;
            self.place[at] = Some((load, self.turn));
            self.order.insert((load, self.turn, at));
        }
    }

    fn renew(&mut self, to: &Endpoints) {
        if self.version == to.version {
            return;
        }
        self.version = to.version;
        self.order.clear();
        self.place.clear();
        self.place.resize(to.all.len(), None);
        for at in to.ready.iter().copied() {
            self.place[at] = Some((0, 0));
            self.put(to, at);
        }
    }
}

impl Pick for LeastConn {
    fn pick(&mut self, _: Duration, to: &Endpoints, held: &Held, _: &mut ChaCha8Rng) -> Option<usize> {
        self.renew(to);
        let free = |at: &usize| to.all[*at].out < self.most;
        let mut free_ones = self.order.iter().map(|(_, _, at)| *at).filter(free);
        let first = free_ones.next()?;
        if held.tried.contains(&first) { free_ones.next().or(Some(first)) } else { Some(first) }
    }

    fn sent(&mut self, to: &Endpoints, at: usize) {
        self.put(to, at);
    }

    fn learns(&mut self, _: Duration, to: &mut Endpoints, at: usize, _: Outcome, _: Duration) {
        self.renew(to);
        self.put(to, at);
    }
}

/// `maxconn` shares out what an upstream can hold over the balancers, as its operator would.
pub(super) fn make(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    let holds = world.stations.iter().map(|s| s.servers.saturating_add(s.queue.min(64))).max();
    let most = (holds.unwrap_or(1) / world.balancers.max(1)).clamp(1, 1 << 20) as u32;
    let pick = LeastConn { most, version: 0, order: BTreeSet::new(), place: Vec::new(), turn: 0 };
    let manner = Manner { retries: 3, budget: 0.0, queue: QUEUE, queue_time: QUEUE_TIME };
    Box::new(Peer::new(world.classes.clone(), manner, seed, pick))
}

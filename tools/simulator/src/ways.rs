//! Connections between balancers and upstreams, where opening one costs something.

use crate::world::{Connections, World};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// How an attempt gets its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Got {
    /// None is modelled, or one was kept.
    Kept,
    /// One is made.
    Opened,
    /// The upstream takes no more.
    Refused,
}

impl Got {
    pub(crate) fn opened(self) -> bool {
        self == Self::Opened
    }

    pub(crate) fn is_refused(self) -> bool {
        self == Self::Refused
    }
}

/// Connections of one balancer to one upstream.
#[derive(Default)]
struct Pair {
    used: usize,
    /// When each fell idle; the newest last.
    idle: Vec<Duration>,
}

/// All connections.
pub(crate) struct Ways {
    figures: Option<Connections>,
    pairs: FxHashMap<(u32, u32), Pair>,
}

impl Ways {
    pub(crate) fn new(world: &World) -> Self {
        Self { figures: world.network.connections, pairs: FxHashMap::default() }
    }

    /// One for an attempt: the newest that is idle, else a new one.
    pub(crate) fn open(&mut self, now: Duration, balancer: u32, upstream: u32, balancers: usize) -> Got {
        let Some(figures) = self.figures else { return Got::Kept };
        let pair = self.pairs.entry((balancer, upstream)).or_default();
        pair.idle.retain(|since| now - *since < figures.idle);
        if pair.idle.pop().is_some() {
            pair.used += 1;
            return Got::Kept;
        }
        // Only where it may matter is everybody's counted.
        let all = || -> usize {
            let held = (0..balancers as u32).filter_map(|b| self.pairs.get(&(b, upstream)));
            held.map(|p| p.used + p.idle.iter().filter(|s| now - **s < figures.idle).count()).sum()
        };
        if figures.most < usize::MAX && all() >= figures.most {
            return Got::Refused;
        }
        if let Some(pair) = self.pairs.get_mut(&(balancer, upstream)) {
            pair.used += 1;
        }
        Got::Opened
    }

    /// An attempt is over; its connection is kept if it had its answer.
    pub(crate) fn done(&mut self, now: Duration, balancer: u32, upstream: u32, keeps: bool) {
        let Some(pair) = self.pairs.get_mut(&(balancer, upstream)) else { return };
        pair.used = pair.used.saturating_sub(1);
        if keeps {
            pair.idle.push(now);
        }
    }

    /// A balancer closes its idle ones to an upstream.
    pub(crate) fn close(&mut self, balancer: u32, upstream: u32) {
        if let Some(pair) = self.pairs.get_mut(&(balancer, upstream)) {
            pair.idle.clear();
        }
    }

    /// A process has ended: none to it is left.
    pub(crate) fn cut(&mut self, upstream: u32, balancers: usize) {
        for balancer in 0..balancers as u32 {
            self.close(balancer, upstream);
        }
    }
}

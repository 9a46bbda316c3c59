//! What is remembered of addresses: a table of fixed size. Entries with a connection stay; of the others the
//! one seen last longest ago makes room.

use crate::address::Key;
use crate::links::{Link, Links, List};
use rustc_hash::FxSeededState;
use std::collections::HashMap;

/// One address or prefix.
#[derive(Debug)]
pub struct Peer {
    key: Key,
    /// Its open connections.
    pub open: u32,
    /// Those of them that were let in as known ones.
    pub known: u32,
    /// Those of them that have asked for nothing fit yet, in the order in which they came.
    pub unproven: List,
    /// What is left of its rate, and when that was so.
    pub tokens: f64,
    pub at: f64,
    /// Among those without a connection.
    link: Link,
}

struct Slab(Vec<Peer>);

impl Links for Slab {
    fn link(&mut self, entry: u32) -> &mut Link {
        &mut self.0[entry as usize].link
    }
}

/// The table.
pub struct Peers {
    slab: Slab,
    index: HashMap<Key, u32, FxSeededState>,
    /// Entries without a connection, those seen last longest ago first.
    unused: List,
    remembered: usize,
}

impl Peers {
    /// A table of those with a connection and `remembered` others. The seed keeps peers, who choose their
    /// addresses under IPv6, from choosing where they fall in it.
    pub fn new(remembered: usize, seed: u64) -> Self {
        // What a 32-bit machine cuts off it can't use.
        let index = HashMap::with_hasher(FxSeededState::with_seed(seed as usize));
        Self { slab: Slab(Vec::new()), index, unused: List::default(), remembered }
    }

    /// The entry of a key, made anew with a full rate where there is none.
    pub fn enter(&mut self, key: Key, at: f64, burst: f64) -> u32 {
        if let Some(entry) = self.index.get(&key).copied() {
            if self.slab.0[entry as usize].open == 0 {
                // Seen again: whoever goes on knocking is not forgotten for those who came once.
                self.unused.remove(&mut self.slab, entry);
                self.unused.push(&mut self.slab, entry);
            }
            return entry;
        }
        let new = Peer {
            key,
            open: 0,
            known: 0,
            unproven: List::default(),
            tokens: burst,
            at,
            link: Link::default(),
        };
        let entry = match self.unused.first() {
            Some(oldest) if self.unused.len() >= self.remembered => {
                self.unused.remove(&mut self.slab, oldest);
                self.index.remove(&self.slab.0[oldest as usize].key);
                self.slab.0[oldest as usize] = new;
                oldest
            }
            _ => {
                self.slab.0.push(new);
                (self.slab.0.len() - 1) as u32
            }
        };
        self.index.insert(key, entry);
        self.unused.push(&mut self.slab, entry);
        entry
    }

    /// A connection of it is open.
    pub fn opened(&mut self, entry: u32) {
        if self.slab.0[entry as usize].open == 0 {
            self.unused.remove(&mut self.slab, entry);
        }
        self.slab.0[entry as usize].open += 1;
    }

    /// One has ended. It was seen just now: it is the last to be forgotten.
    pub fn ended(&mut self, entry: u32) {
        self.slab.0[entry as usize].open -= 1;
        if self.slab.0[entry as usize].open == 0 {
            self.unused.push(&mut self.slab, entry);
        }
    }

    /// An entry.
    pub fn of(&mut self, entry: u32) -> &mut Peer {
        &mut self.slab.0[entry as usize]
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.slab.0.len()
    }
}

impl Peer {
    /// Takes a part of the rate, if one is left.
    pub fn spend(&mut self, at: f64, rate: f64, burst: f64) -> bool {
        self.tokens = (self.tokens + (at - self.at).max(0.0) * rate).min(burst);
        self.at = at;
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}

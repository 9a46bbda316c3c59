//! What is remembered of the sources of connections, addresses or prefixes: a table of bounded size. Entries with a connection
//! stay; of the others the least recently used one is replaced.

use crate::address::AddressKey;
use crate::linked_list::{Link, LinkStore, List};
use rustc_hash::FxSeededState;
use std::collections::HashMap;

/// What is remembered of one address or prefix.
#[derive(Debug)]
pub struct SourceEntry {
    key: AddressKey,
    /// Its open connections.
    pub open: u32,
    /// Those of them whose clients are known.
    pub known: u32,
    /// Those of them that have not sent a valid request yet, oldest first.
    pub unproven: List,
    /// The tokens that are left of its rate.
    pub tokens: f64,
    /// When the tokens were last refilled, in seconds.
    refilled_at: f64,
    /// Its neighbours among the entries without a connection.
    link: Link,
}

struct EntrySlab(Vec<SourceEntry>);

impl LinkStore for EntrySlab {
    fn link(&mut self, entry: u32) -> &mut Link {
        &mut self.0[entry as usize].link
    }
}

/// The entries of all sources of one kind.
pub struct SourceTable {
    slab: EntrySlab,
    index: HashMap<AddressKey, u32, FxSeededState>,
    /// Entries without a connection, least recently used first.
    unused: List,
    remembered: usize,
}

impl SourceTable {
    /// A table of the sources with a connection and `remembered` others. The seed keeps clients, who choose their addresses under
    /// IPv6, from choosing their places in it.
    pub fn new(remembered: usize, seed: u64) -> Self {
        // A 32-bit machine uses the lower half of the seed.
        let index = HashMap::with_hasher(FxSeededState::with_seed(seed as usize));
        Self { slab: EntrySlab(Vec::new()), index, unused: List::default(), remembered }
    }

    /// The entry of a key. Where there is none, one is made with `burst` tokens at `now`, in seconds.
    pub fn find_or_insert(&mut self, key: AddressKey, now: f64, burst: f64) -> u32 {
        if let Some(entry) = self.index.get(&key).copied() {
            if self.slab.0[entry as usize].open == 0 {
                // It is now the most recently used: a client that keeps connecting is not forgotten for those that connect once.
                self.unused.remove(&mut self.slab, entry);
                self.unused.push(&mut self.slab, entry);
            }
            return entry;
        }
        let new = SourceEntry {
            key,
            open: 0,
            known: 0,
            unproven: List::default(),
            tokens: burst,
            refilled_at: now,
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

    /// Counts a connection of an entry.
    pub fn add_connection(&mut self, entry: u32) {
        if self.slab.0[entry as usize].open == 0 {
            self.unused.remove(&mut self.slab, entry);
        }
        self.slab.0[entry as usize].open += 1;
    }

    /// Takes a connection of an entry out of the count. Without another one, the entry is now the most recently used.
    pub fn remove_connection(&mut self, entry: u32) {
        self.slab.0[entry as usize].open -= 1;
        if self.slab.0[entry as usize].open == 0 {
            self.unused.push(&mut self.slab, entry);
        }
    }

    /// The entry with this index.
    pub fn get_mut(&mut self, entry: u32) -> &mut SourceEntry {
        &mut self.slab.0[entry as usize]
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.slab.0.len()
    }
}

impl SourceEntry {
    /// Takes a token, after a refill at `rate` a second up to `burst`; `false` if none is left.
    pub fn take_token(&mut self, now: f64, rate: f64, burst: f64) -> bool {
        self.tokens = (self.tokens + (now - self.refilled_at).max(0.0) * rate).min(burst);
        self.refilled_at = now;
        let is_left = self.tokens >= 1.0;
        if is_left {
            self.tokens -= 1.0;
        }
        is_left
    }

    /// Returns a token, up to `burst`.
    pub fn return_token(&mut self, burst: f64) {
        self.tokens = (self.tokens + 1.0).min(burst);
    }
}

//! The ledger of effects: a request that must not run twice is known by its tenant, its class and its id, and
//! whoever asks for the same again gets the same final answer, however often a host repeats itself.
//!
//! No I/O and no clock: time comes in. What the embedder does:
//!
//! 1. [`Ledger::open`] before it sends anything. [`OpenResult::First`] means: send it, and nobody else will.
//! 2. [`Ledger::complete`] with the final answer, from whatever task has it; it names those that wait for it.
//! 3. [`Ledger::remove_waiter`] when somebody who waits has gone.
//!
//! # What is promised
//!
//! - An identity is sent at most once while it is open or remembered, but for one that is proved not to have
//!   run ([`FinalAnswer::Rejected`]): that one is forgotten at once, since trying again is harmless.
//! - All who ask for an identity while it is open or remembered get one and the same ending.
//! - A live entry, open or remembered, is never dropped for room. When there is none, new ones are refused
//!   ([`OpenResult::Full`]): nothing of them has run, so that is harmless.
//! - Entries, bytes and waiters are bounded. An open entry is charged for the longest answer that may be kept,
//!   so that there is always room for its ending.

use rustc_hash::FxSeededState;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// What an entry costs beside its id and its answer, in bytes: its place in the tables.
const OVERHEAD: usize = 160;

/// Which effect it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Whose.
    pub tenant: u32,
    /// Of which class.
    pub class: u16,
    /// The request's id, or its idempotency key.
    pub id: Box<[u8]>,
}

/// What a ledger may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Entries, open and remembered. 1 or more.
    pub entries: usize,
    /// Bytes of all entries together; at least what one entry with the longest answer takes.
    pub bytes: usize,
    /// The longest answer that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// Callers that may wait for one open entry, beside the first.
    pub waiters: usize,
    /// How long an ending is remembered.
    pub retention: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            entries: 16 * 1024,
            bytes: 8 * 1024 * 1024,
            max_answer_bytes: 16 * 1024,
            waiters: 8,
            retention: Duration::from_secs(120),
        }
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<A> {
    /// An upstream's.
    Served(A),
    /// It was served, and the answer was too long to be kept: whoever asks again can't have it.
    ServedNotCached,
    /// It may have run.
    Failed,
    /// It never ran; trying again is harmless.
    Rejected,
}

/// An entry, while it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryId {
    slot: u32,
    generation: u32,
}

/// Somebody who waits for an open entry's ending. The caller chooses the number.
pub type Waiter = u64;

/// What becomes of a request that is about to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenResult<A> {
    /// Nobody has asked for it, as far as is remembered: it is to be sent.
    First(EntryId),
    /// It is out already: its ending is this caller's too.
    Joined(EntryId),
    /// It has complete already, and this is how.
    Answered(FinalAnswer<A>),
    /// Too many wait for it already: refuse this caller, harmlessly; the effect is another's to wait for.
    TooManyWaiters,
    /// There is no room to remember it: refuse it, harmlessly.
    Full,
}

/// Bounds that no ledger can keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundsError(&'static str);

impl fmt::Display for BoundsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for BoundsError {}

#[derive(Debug)]
enum State<A> {
    Free,
    Open(Vec<Waiter>),
    Ended(FinalAnswer<A>),
}

#[derive(Debug)]
struct Entry<A> {
    generation: u32,
    identity: Identity,
    charged: usize,
    state: State<A>,
}

/// The ledger. `A` is the answer as the embedder keeps it.
pub struct Ledger<A> {
    bounds: Bounds,
    entries: Vec<Entry<A>>,
    free: Vec<u32>,
    index: HashMap<Identity, u32, FxSeededState>,
    /// Ended entries in the order of their ends.
    remembered: VecDeque<(Duration, u32)>,
    bytes: usize,
    now: Duration,
}

impl<A: Clone> Ledger<A> {
    /// An empty one. The seed keeps clients, who choose their ids, from choosing where they fall in the table.
    pub fn new(bounds: Bounds, seed: u64) -> Result<Self, BoundsError> {
        if bounds.entries == 0 || bounds.entries >= u32::MAX as usize {
            return Err(BoundsError("entries: 1 to 2^32 - 2"));
        }
        if bounds.bytes < bounds.max_answer_bytes.saturating_add(2 * OVERHEAD) {
            return Err(BoundsError("bytes: room for one longest answer and 320 more at the least"));
        }
        Ok(Self {
            bounds,
            entries: Vec::new(),
            free: Vec::new(),
            index: HashMap::with_hasher(FxSeededState::with_seed(seed as usize)),
            remembered: VecDeque::new(),
            bytes: 0,
            now: Duration::ZERO,
        })
    }

    /// Entries that are open or remembered.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Bytes that they are charged for.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Somebody asks for this effect.
    pub fn open(&mut self, now: Duration, identity: &Identity, waiter: Waiter) -> OpenResult<A> {
        self.pass(now);
        if let Some(&slot) = self.index.get(identity) {
            let entry = &mut self.entries[slot as usize];
            let id = EntryId { slot, generation: entry.generation };
            return match &mut entry.state {
                State::Ended(ending) => OpenResult::Answered(ending.clone()),
                // One of them is the first.
                State::Open(waiters) if waiters.len() > self.bounds.waiters => OpenResult::TooManyWaiters,
                State::Open(waiters) => {
                    waiters.push(waiter);
                    OpenResult::Joined(id)
                }
                State::Free => unreachable_free(),
            };
        }
        let charged = OVERHEAD + 2 * identity.id.len() + self.bounds.max_answer_bytes;
        if self.index.len() >= self.bounds.entries || self.bytes + charged > self.bounds.bytes {
            return OpenResult::Full;
        }
        self.bytes += charged;
        let (identity, state) = (identity.clone(), State::Open(vec![waiter]));
        let slot = match self.free.pop() {
            Some(slot) => {
                let entry = &mut self.entries[slot as usize];
                (entry.identity, entry.charged, entry.state) = (identity.clone(), charged, state);
                slot
            }
            None => {
                self.entries.push(Entry { generation: 0, identity: identity.clone(), charged, state });
                (self.entries.len() - 1) as u32
            }
        };
        self.index.insert(identity, slot);
        OpenResult::First(EntryId { slot, generation: self.entries[slot as usize].generation })
    }

    /// The final answer of an open entry; `length` is what keeping it takes. Returns those who wait for it, and
    /// what they get. The first ending counts: a second one changes nothing and tells nobody.
    pub fn complete(
        &mut self,
        now: Duration,
        id: EntryId,
        ending: FinalAnswer<A>,
        length: usize,
    ) -> Vec<Waiter> {
        self.pass(now);
        let Some(entry) = self.entries.get_mut(id.slot as usize).filter(|e| e.generation == id.generation)
        else {
            return Vec::new();
        };
        let State::Open(waiters) = &mut entry.state else { return Vec::new() };
        let waiters = std::mem::take(waiters);
        let kept = match ending {
            FinalAnswer::Rejected => {
                self.forget(id.slot);
                return waiters;
            }
            FinalAnswer::Served(_) if length > self.bounds.max_answer_bytes => FinalAnswer::ServedNotCached,
            kept => kept,
        };
        let answer = if matches!(kept, FinalAnswer::Served(_)) { length } else { 0 };
        let charged = OVERHEAD + 2 * entry.identity.id.len() + answer;
        self.bytes -= entry.charged - charged;
        entry.charged = charged;
        entry.state = State::Ended(kept);
        self.remembered.push_back((self.now, id.slot));
        waiters
    }

    /// Somebody who waited has gone. `true`: nobody waits for this entry any more. It stays open all the same,
    /// until its ending is known: whoever asks again is to have it.
    pub fn remove_waiter(&mut self, id: EntryId, waiter: Waiter) -> bool {
        let entry = self.entries.get_mut(id.slot as usize).filter(|e| e.generation == id.generation);
        match entry.map(|e| &mut e.state) {
            Some(State::Open(waiters)) => {
                waiters.retain(|w| *w != waiter);
                waiters.is_empty()
            }
            _ => false,
        }
    }

    /// Time goes on: what has been remembered for long enough is forgotten. A clock that goes back stands.
    fn pass(&mut self, now: Duration) {
        self.now = self.now.max(now);
        while let Some((_, slot)) =
            self.remembered.front().copied().filter(|(at, _)| self.now >= *at + self.bounds.retention)
        {
            self.remembered.pop_front();
            self.forget(slot);
        }
    }

    fn forget(&mut self, slot: u32) {
        let entry = &mut self.entries[slot as usize];
        self.index.remove(&entry.identity);
        self.bytes -= entry.charged;
        entry.generation = entry.generation.wrapping_add(1);
        entry.state = State::Free;
        entry.identity.id = Box::default();
        self.free.push(slot);
    }
}

/// An entry in the index is open or complete: only [`Ledger::forget`] frees one, and takes it out there first.
fn unreachable_free<A>() -> OpenResult<A> {
    debug_assert!(false, "a free entry in the index");
    OpenResult::Full
}

//! Ledger of effects, which deduplicates requests that must not run twice. A request is identified by its name,
//! which is its tenant with its key or id, and by a fingerprint of its content. Callers that repeat a request get
//! the same final answer; another request under the same name gets none.
//!
//! The ledger does no I/O and reads no clock: callers pass the time. The embedder calls:
//!
//! 1. [`Ledger::open`] before it sends a request. [`OpenResult::First`] means that this caller alone sends
//!    it.
//! 2. [`Ledger::complete`] with the final answer, from any task. It returns the waiters to notify.
//! 3. [`Ledger::remove_waiter`] when a waiting caller disconnects.
//!
//! # Guarantees
//!
//! - A request is sent at most once while its entry is open or retained. The exception is a request that
//!   provably did not run ([`FinalAnswer::Rejected`]): its entry is removed at once because a repeat is safe.
//! - All callers with the same identity and fingerprint get the same final answer while the entry is open or
//!   retained. An answer belongs to the request that it was made for: a request with the same identity and another
//!   fingerprint, or one that is not known, gets no answer and is not sent ([`OpenResult::Conflict`]).
//! - A live entry, open or retained, is never evicted. A full ledger rejects new requests
//!   ([`OpenResult::Full`]), which is safe because they have not run.
//! - Entries, bytes and waiters are bounded. An open entry is charged for the longest answer that may be
//!   stored, so that its answer always fits.

use rustc_hash::FxSeededState;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// Memory that an entry takes in the tables, in bytes, without its id and its answer.
const ENTRY_OVERHEAD_BYTES: usize = 160;

/// Name of an effect, as its client chose it. The class is no part of it: a new configuration may give a request
/// another class between two tries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Index of the tenant.
    pub tenant: u32,
    /// Request id or idempotency key.
    pub id: Box<[u8]>,
}

/// Digest of what a request asks for: its method, target and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(Option<u64>);

impl Fingerprint {
    /// Fingerprint of a request whose body is not known when the request is opened. It matches no request.
    pub const UNKNOWN: Self = Self(None);

    /// Creates a fingerprint from a digest that clients cannot provoke collisions of.
    pub const fn new(digest: u64) -> Self {
        Self(Some(digest))
    }

    fn matches(self, other: Self) -> bool {
        self.0.is_some() && self == other
    }
}

/// Why a name cannot be used for a request: it belongs to another one, or it cannot be told whether it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityConflict {
    /// The other request is in flight.
    Open,
    /// The other request has its final answer.
    Answered,
}

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of entries, open and retained; at least 1.
    pub entries: usize,
    /// Maximum memory of all entries, in bytes; must fit an entry with the longest answer.
    pub bytes: usize,
    /// Length of the longest answer that is stored, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of callers that wait for one open entry, not counting the first.
    pub waiters: usize,
    /// Time for which a final answer is retained.
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

/// Final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<A> {
    /// An upstream answered, and the ledger stores its answer.
    Served(A),
    /// An upstream answered, but the answer exceeds the length limit. Repeats cannot get it.
    ServedNotCached,
    /// The request may have run, but there is no answer.
    Failed,
    /// The request never ran. It is safe to repeat it.
    Rejected,
}

/// Handle of an open entry. It becomes stale when the entry is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryId {
    slot: u32,
    generation: u32,
}

/// Number that identifies a caller that waits for an open entry. The embedder assigns it.
pub type Waiter = u64;

/// Decision about a request that is about to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenResult<A> {
    /// The identity has no entry: the caller sends the request.
    First(EntryId),
    /// The request is already in flight: the caller waits for its final answer.
    Joined(EntryId),
    /// The request already has this final answer.
    Answered(FinalAnswer<A>),
    /// The entry has the maximum number of waiters. Reject this caller; the request is already in flight for
    /// others.
    TooManyWaiters,
    /// The ledger is full. Reject the request, which has not run.
    Full,
    /// The identity belongs to another request. Reject this one, which has not run and must not.
    Conflict(IdentityConflict),
}

/// Error for invalid [`Bounds`].
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
    Answered(FinalAnswer<A>),
}

#[derive(Debug)]
struct Entry<A> {
    generation: u32,
    identity: Identity,
    fingerprint: Fingerprint,
    charged_bytes: usize,
    state: State<A>,
}

/// Ledger of effects. `A` is the type in which the embedder stores answers.
pub struct Ledger<A> {
    bounds: Bounds,
    entries: Vec<Entry<A>>,
    free: Vec<u32>,
    index: HashMap<Identity, u32, FxSeededState>,
    /// Completion times and slots of the answered entries, oldest first.
    retained: VecDeque<(Duration, u32)>,
    bytes: usize,
    now: Duration,
}

impl<A: Clone> Ledger<A> {
    /// Creates an empty ledger. The seed randomizes the hash, so that clients, who choose the ids, cannot
    /// provoke collisions.
    pub fn new(bounds: Bounds, seed: u64) -> Result<Self, BoundsError> {
        if bounds.entries == 0 || bounds.entries >= u32::MAX as usize {
            return Err(BoundsError("entries: must be from 1 to 2^32 - 2"));
        }
        if bounds.bytes < bounds.max_answer_bytes.saturating_add(2 * ENTRY_OVERHEAD_BYTES) {
            return Err(BoundsError(
                "bytes: must be at least the length of the longest answer plus 320 bytes",
            ));
        }
        Ok(Self {
            bounds,
            entries: Vec::new(),
            free: Vec::new(),
            index: HashMap::with_hasher(FxSeededState::with_seed(seed as usize)),
            retained: VecDeque::new(),
            bytes: 0,
            now: Duration::ZERO,
        })
    }

    /// Returns the number of entries, open and retained.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns true if the ledger has no entries.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the memory charged for all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Looks up an effect and opens an entry if there is none. `waiter` waits for the answer if the result is
    /// `First` or `Joined`.
    pub fn open(
        &mut self,
        now: Duration,
        identity: &Identity,
        fingerprint: Fingerprint,
        waiter: Waiter,
    ) -> OpenResult<A> {
        self.expire(now);
        if let Some(&slot) = self.index.get(identity) {
            let entry = &mut self.entries[slot as usize];
            let id = EntryId { slot, generation: entry.generation };
            let is_same_request = entry.fingerprint.matches(fingerprint);
            return match &mut entry.state {
                State::Open(_) if !is_same_request => OpenResult::Conflict(IdentityConflict::Open),
                State::Answered(_) if !is_same_request => OpenResult::Conflict(IdentityConflict::Answered),
                State::Answered(answer) => OpenResult::Answered(answer.clone()),
                // The first caller is in the list but does not count towards the limit.
                State::Open(waiters) if waiters.len() > self.bounds.waiters => OpenResult::TooManyWaiters,
                State::Open(waiters) => {
                    waiters.push(waiter);
                    OpenResult::Joined(id)
                }
                State::Free => report_free_entry(),
            };
        }
        let charged_bytes = ENTRY_OVERHEAD_BYTES + 2 * identity.id.len() + self.bounds.max_answer_bytes;
        if self.index.len() >= self.bounds.entries || self.bytes + charged_bytes > self.bounds.bytes {
            return OpenResult::Full;
        }
        self.bytes += charged_bytes;
        let (identity, state) = (identity.clone(), State::Open(vec![waiter]));
        let slot = match self.free.pop() {
            Some(slot) => {
                let entry = &mut self.entries[slot as usize];
                (entry.identity, entry.fingerprint) = (identity.clone(), fingerprint);
                (entry.charged_bytes, entry.state) = (charged_bytes, state);
                slot
            }
            None => {
                let identity = identity.clone();
                self.entries.push(Entry { generation: 0, identity, fingerprint, charged_bytes, state });
                (self.entries.len() - 1) as u32
            }
        };
        self.index.insert(identity, slot);
        OpenResult::First(EntryId { slot, generation: self.entries[slot as usize].generation })
    }

    /// Records the final answer of an open entry and returns the waiters to notify. `length` is the size of
    /// the stored answer in bytes. Only the first answer counts: further calls change nothing and return no
    /// waiters.
    pub fn complete(
        &mut self,
        now: Duration,
        id: EntryId,
        answer: FinalAnswer<A>,
        length: usize,
    ) -> Vec<Waiter> {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(id.slot as usize).filter(|e| e.generation == id.generation)
        else {
            return Vec::new();
        };
        let State::Open(waiters) = &mut entry.state else { return Vec::new() };
        let waiters = std::mem::take(waiters);
        let stored = match answer {
            FinalAnswer::Rejected => {
                self.remove_entry(id.slot);
                return waiters;
            }
            FinalAnswer::Served(_) if length > self.bounds.max_answer_bytes => FinalAnswer::ServedNotCached,
            stored => stored,
        };
        let answer_bytes = if matches!(stored, FinalAnswer::Served(_)) { length } else { 0 };
        let charged_bytes = ENTRY_OVERHEAD_BYTES + 2 * entry.identity.id.len() + answer_bytes;
        self.bytes -= entry.charged_bytes - charged_bytes;
        entry.charged_bytes = charged_bytes;
        entry.state = State::Answered(stored);
        self.retained.push_back((self.now, id.slot));
        waiters
    }

    /// Removes a waiter and returns true if the open entry has no waiters left. The entry stays open until
    /// its final answer is known, which repeats of the request then get.
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

    /// Returns the waiters of an open entry.
    pub fn waiters(&self, id: EntryId) -> &[Waiter] {
        let entry = self.entries.get(id.slot as usize).filter(|e| e.generation == id.generation);
        match entry.map(|e| &e.state) {
            Some(State::Open(waiters)) => waiters,
            _ => &[],
        }
    }

    /// Advances the time and removes entries past their retention. A time before the latest one is ignored.
    fn expire(&mut self, now: Duration) {
        self.now = self.now.max(now);
        while let Some((_, slot)) =
            self.retained.front().copied().filter(|(at, _)| self.now >= *at + self.bounds.retention)
        {
            self.retained.pop_front();
            self.remove_entry(slot);
        }
    }

    fn remove_entry(&mut self, slot: u32) {
        let entry = &mut self.entries[slot as usize];
        self.index.remove(&entry.identity);
        self.bytes -= entry.charged_bytes;
        entry.generation = entry.generation.wrapping_add(1);
        entry.state = State::Free;
        entry.identity.id = Box::default();
        self.free.push(slot);
    }
}

/// Handles a free entry in the index, which is a bug: [`Ledger::remove_entry`] removes an entry from the
/// index before it frees the slot.
fn report_free_entry<A>() -> OpenResult<A> {
    debug_assert!(false, "the index refers to a free entry");
    OpenResult::Full
}

//! What was seen from outside, on one clock: the rig's.

use crate::balancer::View;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No harm.
    Look,
    /// It must not run twice.
    Book,
    /// It is dropped where its key was seen before.
    Keyed,
}

/// What became of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    /// An answer of this status.
    Status(u16),
    /// More than one answer.
    Twice,
    /// The connection broke, or could not be made.
    Broken,
    /// Nothing came in time.
    Nothing,
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "each field is what its name says")]
pub enum What {
    /// A client sent a request to a balancer.
    Asked { id: String, kind: Kind, balancer: usize },
    /// It got this.
    Got { id: String, got: Got },
    /// An upstream got an attempt, from a balancer.
    Attempt { id: String, upstream: usize, balancer: Option<usize>, version: Option<String> },
    /// It ran, so often in all.
    Ran { id: String, times: usize },
    /// A balancer serves.
    Serves { balancer: usize },
    /// A balancer is being ended, killed or stopped.
    Down { balancer: usize },
    /// What a balancer shows of its tier.
    Shows { balancer: usize, view: View },
    /// Discovery says from now on that an upstream drains.
    Drains { upstream: usize },
    /// A fault begins, or ends.
    Fault { said: String },
    /// All faults have ended, and all balancers serve.
    Healed,
    /// The end.
    End,
}

/// Something that was seen, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When.
    pub at: Duration,
    /// What.
    pub what: What,
}

/// All that was seen.
#[derive(Debug)]
pub struct History {
    /// When the clock began.
    pub begun: Instant,
    entries: Mutex<Vec<Entry>>,
}

/// The most entries: about an hour of a storm.
const MOST: usize = 4_000_000;

impl Default for History {
    fn default() -> Self {
        Self { begun: Instant::now(), entries: Mutex::default() }
    }
}

impl History {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Something was seen now.
    pub fn note(&self, what: What) {
        self.note_at(self.now(), what);
    }

    /// Something was seen then.
    pub fn note_at(&self, at: Duration, what: What) {
        let mut entries = self.lock();
        if entries.len() < MOST {
            entries.push(Entry { at, what });
        }
    }

    /// All of it, by time.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.lock().clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

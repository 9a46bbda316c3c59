//! What a client has sent and taken lately, and until when more has to come: a client may be slow, as long as it moves on.

use std::cell::Cell;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// The time from the connection, or from a later request's first byte, to the request's last byte, and the bytes a second
/// that add to it.
const READ_MOST: Duration = Duration::from_secs(5);
const READ_RATE: f64 = 8.0 * 1024.0;
/// What a client has in any case to go on with a request, or to be told that it has not, once it has its last answer.
pub const PROMPT: Duration = Duration::from_millis(250);

/// How long a client may leave things undone.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// The longest time in which nothing comes of a request that is not whole, or of a first one.
    pub silence: Duration,
    /// The longest time for which it leaves an answer unread.
    pub unread: Duration,
}

/// A client's progress.
pub struct Progress {
    allowance: Allowance,
    /// When the request that is being read began, and what has come since.
    begun: Cell<Option<Instant>>,
    came: Cell<usize>,
    /// When its last byte came, and when it last took one of ours.
    heard: Cell<Instant>,
    wrote: Cell<Instant>,
    /// Since when it takes nothing of what there is for it.
    blocked: Cell<Option<Instant>>,
}

impl Progress {
    /// Of a client that has just connected.
    pub fn new(allowance: Allowance) -> Self {
        let now = Instant::now();
        Self {
            allowance,
            begun: Cell::new(None),
            came: Cell::new(0),
            heard: Cell::new(now),
            wrote: Cell::new(now),
            blocked: Cell::new(None),
        }
    }

    /// When the request that is being read began.
    pub fn begun(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// The request that is being read began then.
    pub fn begin(&self, at: Instant) {
        self.begun.set(Some(at));
    }

    /// No request is being read.
    pub fn end(&self) {
        self.begun.set(None);
    }

    /// Its last request has its answer: what comes from here on is counted anew.
    pub fn restart(&self) {
        self.end();
        self.came.set(0);
    }

    /// So many bytes are taken in as a part of a request.
    pub fn took(&self, bytes: usize) {
        self.came.set(self.came.get().saturating_add(bytes));
    }

    /// How many bytes have been taken in since its last answer.
    pub fn came(&self) -> usize {
        self.came.get()
    }

    /// Bytes have come from it.
    pub fn hears(&self, now: Instant) {
        self.heard.set(now);
    }

    /// For how long nothing has come from it.
    pub fn silence(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// Bytes for it were taken by the kernel, or were not.
    pub fn wrote<T>(&self, poll: &Poll<T>) {
        let now = Instant::now();
        if poll.is_ready() {
            self.wrote.set(now);
            self.blocked.set(None);
        } else if self.blocked.get().is_none() {
            self.blocked.set(Some(now));
        }
    }

    /// Whether it takes nothing of what there is for it.
    pub fn is_blocked(&self) -> bool {
        self.blocked.get().is_some()
    }

    /// Until when it has to read on; `None` where nothing waits for it.
    pub fn unread_by(&self) -> Option<Instant> {
        self.blocked.get().and_then(|since| since.checked_add(self.allowance.unread))
    }

    /// Until when more has to come of a request that began then: it goes on without a stop, and is fast enough in all.
    pub fn read_by(&self, begun: Instant) -> Instant {
        let earned = Duration::from_secs_f64(self.came.get() as f64 / READ_RATE);
        (begun + READ_MOST + earned).min(self.silent_by(self.allowance.silence))
    }

    /// Until when something has to come, where it may be silent for so long.
    pub fn silent_by(&self, silence: Duration) -> Instant {
        (self.heard.get() + silence).max(self.wrote.get() + PROMPT)
    }
}

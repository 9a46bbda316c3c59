//! How long discovery may be silent, at each step of a call and of the watch that it becomes.

use maplehook_core::discovery_timing::{CALL_TIMEOUT, WATCH_IDLE_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// How long a call waits for the first steps of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// For the connection.
    pub(super) connect: Duration,
    /// For the head of the answer, on a connection that has come up.
    pub(super) head: Duration,
}

impl DiscoveryTimeouts {
    /// With one service for all balancers, which works through its calls in turn. The time of the whole call bounds it;
    /// a connection that does not come up is tried anew before.
    pub const SERVICE: Self = Self { connect: Duration::from_millis(1000), head: CALL_TIMEOUT };
    /// With an agent on this machine. It answers at once or not at all, and what it has counts as told in the moment
    /// in which discovery is back: a call that hangs then must be over within the grace of a drain, half a second.
    pub const AGENT: Self = Self { connect: Duration::from_millis(250), head: Duration::from_millis(250) };
}

/// When a call, and then the watch that it has become, counts as broken.
#[derive(Debug)]
pub(super) struct Silence {
    patience: DiscoveryTimeouts,
    answer_by: Instant,
    answered: bool,
    broken_at: Instant,
}

impl Silence {
    /// Of a call that is begun now.
    pub(super) fn new(patience: DiscoveryTimeouts, now: Instant) -> Self {
        let answer_by = now + CALL_TIMEOUT;
        Self { patience, answer_by, answered: false, broken_at: answer_by.min(now + patience.connect) }
    }

    /// The connection has come up.
    pub(super) fn connected(&mut self, now: Instant) {
        self.broken_at = self.answer_by.min(now + self.patience.head);
    }

    /// The head of the answer has come. It says nothing of the list yet: the time of the call goes on.
    pub(super) fn headed(&mut self) {
        self.broken_at = self.answer_by;
    }

    /// A document, or the end of an empty line, has come.
    pub(super) fn said(&mut self, now: Instant) {
        self.answered = true;
        self.broken_at = now + WATCH_IDLE_TIMEOUT;
    }

    pub(super) fn answered(&self) -> bool {
        self.answered
    }

    pub(super) fn broken_at(&self) -> Instant {
        self.broken_at
    }
}

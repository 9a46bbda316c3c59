//! Timeouts for each step of a discovery call, and of the watch that it turns into.

use maplehook_core::discovery_timing::{CALL_TIMEOUT, WATCH_IDLE_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// Timeouts of the first steps of a discovery call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// Time limit for establishing the connection.
    pub(super) connect: Duration,
    /// Time limit for the response head, counted from the established connection.
    pub(super) head: Duration,
    /// Longest pause after lists that can't be read, which are asked for again.
    pub(super) max_pause_after_bad_list: Duration,
}

impl DiscoveryTimeouts {
    /// For one service that all balancers share and that handles calls in sequence. The timeout of the whole
    /// call is the limit; a connection that is not established is retried earlier. The decision module spaces the
    /// calls.
    pub const SERVICE: Self = Self {
        connect: Duration::from_millis(1000),
        head: CALL_TIMEOUT,
        max_pause_after_bad_list: Duration::ZERO,
    };
    /// For an agent on the same machine, which responds at once or not at all. Its data counts as delivered
    /// from the moment discovery is back, so a call that hangs then must end within the half second of drain
    /// grace. The same holds for the pause after a list that can't be read, and the reading of the next one.
    pub const AGENT: Self = Self {
        connect: Duration::from_millis(250),
        head: Duration::from_millis(250),
        max_pause_after_bad_list: Duration::from_millis(200),
    };
}

/// Pause after the first list that can't be read; it doubles with each further one.
const FIRST_PAUSE_AFTER_BAD_LIST: Duration = Duration::from_millis(25);

impl DiscoveryTimeouts {
    /// Returns the pause after this many lists in a row that can't be read.
    pub(super) fn pause_after_bad_lists(&self, count: u32) -> Duration {
        let factor = 1 << count.saturating_sub(1).min(u8::BITS);
        (FIRST_PAUSE_AFTER_BAD_LIST * factor).min(self.max_pause_after_bad_list)
    }
}

/// Deadline of a discovery call, and later of the watch.
#[derive(Debug)]
pub(super) struct WatchDeadline {
    timeouts: DiscoveryTimeouts,
    call_deadline: Instant,
    is_answered: bool,
    expires_at: Instant,
}

impl WatchDeadline {
    /// Returns the deadline of a call that starts now.
    pub(super) fn new(timeouts: DiscoveryTimeouts, now: Instant) -> Self {
        let call_deadline = now + CALL_TIMEOUT;
        Self {
            timeouts,
            call_deadline,
            is_answered: false,
            expires_at: call_deadline.min(now + timeouts.connect),
        }
    }

    /// Advances to the wait for the response head.
    pub(super) fn connected(&mut self, now: Instant) {
        self.expires_at = self.call_deadline.min(now + self.timeouts.head);
    }

    /// Advances to the wait for the first data. The head carries no list, so the timeout of the call still
    /// applies.
    pub(super) fn head_received(&mut self) {
        self.expires_at = self.call_deadline;
    }

    /// Restarts the idle timeout of the watch after a document or an empty line.
    pub(super) fn data_received(&mut self, now: Instant) {
        self.is_answered = true;
        self.expires_at = now + WATCH_IDLE_TIMEOUT;
    }

    pub(super) fn is_answered(&self) -> bool {
        self.is_answered
    }

    pub(super) fn expires_at(&self) -> Instant {
        self.expires_at
    }
}

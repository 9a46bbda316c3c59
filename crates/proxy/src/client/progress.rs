//! Transfer progress of a client connection: a client may be slow as long as it keeps sending and reading.

use std::cell::Cell;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the connection's start, or from a later request's first byte, to the request's last byte, and
/// the transfer rate that extends this time.
const BASE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MIN_REQUEST_BYTES_PER_S: f64 = 8.0 * 1024.0;
/// Minimum time a client has after the last write to it: either to continue a request that it started
/// earlier, or to receive the response that reports the timeout.
pub const SEND_GRACE: Duration = Duration::from_millis(250);

/// Limits on a client's pauses while it sends a request or reads a response.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Maximum time without a received byte while a request is incomplete or the first request is awaited.
    pub request_idle: Duration,
    /// Maximum time for which a client may leave a response unread.
    pub response_unread: Duration,
}

/// Number of bytes received from a client, and the times of its last activity.
pub struct Progress {
    timeouts: ClientTimeouts,
    /// Start of the request that is being read, and the bytes consumed since the last response.
    started_at: Cell<Option<Instant>>,
    consumed: Cell<usize>,
    /// Times of the last byte received and of the last successful write.
    last_received: Cell<Instant>,
    last_write: Cell<Instant>,
    /// Time since which writes to the client have blocked.
    blocked_since: Cell<Option<Instant>>,
}

impl Progress {
    /// Creates the progress of a client that has just connected.
    pub fn new(timeouts: ClientTimeouts) -> Self {
        let now = Instant::now();
        Self {
            timeouts,
            started_at: Cell::new(None),
            consumed: Cell::new(0),
            last_received: Cell::new(now),
            last_write: Cell::new(now),
            blocked_since: Cell::new(None),
        }
    }

    /// Returns when the request that is being read started; `None` between requests.
    pub fn request_started(&self) -> Option<Instant> {
        self.started_at.get()
    }

    /// Records the start of the request that is being read.
    pub fn start_request(&self, at: Instant) {
        self.started_at.set(Some(at));
    }

    /// Records that no request is being read.
    pub fn finish_request(&self) {
        self.started_at.set(None);
    }

    /// Records that the last request was answered, and resets the count of consumed bytes.
    pub fn reset_request(&self) {
        self.finish_request();
        self.consumed.set(0);
    }

    /// Counts bytes of a request that were consumed.
    pub fn add_consumed(&self, bytes: usize) {
        self.consumed.set(self.consumed.get().saturating_add(bytes));
    }

    /// Returns the number of bytes consumed since the last response.
    pub fn consumed_bytes(&self) -> usize {
        self.consumed.get()
    }

    /// Records that bytes were received from the client at `now`.
    pub fn on_received(&self, now: Instant) {
        self.last_received.set(now);
    }

    /// Returns when the last byte was received.
    pub fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Returns the time since the last byte was received.
    pub fn time_since_received(&self) -> Duration {
        self.last_received.get().elapsed()
    }

    /// Records the result of a write to the client's socket.
    pub fn on_write<T>(&self, poll: &Poll<T>) {
        let now = Instant::now();
        if poll.is_ready() {
            self.last_write.set(now);
            self.blocked_since.set(None);
        } else if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(now));
        }
    }

    /// Returns true if writes to the client are blocked.
    pub fn is_write_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// Returns when the client must read on; `None` if no write is blocked.
    pub fn read_deadline(&self) -> Option<Instant> {
        self.blocked_since.get().and_then(|since| since.checked_add(self.timeouts.response_unread))
    }

    /// Returns when a request started at `started_at` times out: by its minimum transfer rate or by a pause.
    pub fn request_deadline(&self, started_at: Instant) -> Instant {
        let extra_time = Duration::from_secs_f64(self.consumed.get() as f64 / MIN_REQUEST_BYTES_PER_S);
        (started_at + BASE_REQUEST_TIMEOUT + extra_time).min(self.idle_deadline(self.timeouts.request_idle))
    }

    /// Returns when a client that may pause for `idle_limit` must have sent more.
    pub fn idle_deadline(&self, idle_limit: Duration) -> Instant {
        (self.last_received.get() + idle_limit).max(self.last_write.get() + SEND_GRACE)
    }
}

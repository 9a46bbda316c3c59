//! Rate-limited warnings about input from peers: a peer could otherwise fill the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Logs one line per second and counts the suppressed ones.
#[derive(Default)]
pub struct RateLimitedLog {
    last: Cell<Option<Instant>>,
    skipped: Cell<u64>,
}

impl RateLimitedLog {
    /// Logs a warning, unless another warning was logged within the last second.
    pub fn warn(&self, message: impl FnOnce() -> String) {
        let now = Instant::now();
        if self.last.get().is_some_and(|last| now - last < MIN_INTERVAL) {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.last.set(Some(now));
        tracing::warn!(skipped = self.skipped.replace(0), "{}", message());
    }
}

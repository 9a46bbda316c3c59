//! Log lines about what peers send, at a bounded rate: a peer can repeat itself faster than a log can grow.

use std::cell::Cell;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_secs(1);

/// Lets one line a second pass and counts the others.
#[derive(Default)]
pub struct RateLimitedLog {
    last: Cell<Option<Instant>>,
    skipped: Cell<u64>,
}

impl RateLimitedLog {
    /// A warning, unless one has passed within the second.
    pub fn warn(&self, what: impl FnOnce() -> String) {
        let now = Instant::now();
        if self.last.get().is_some_and(|last| now - last < EVERY) {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.last.set(Some(now));
        tracing::warn!(skipped = self.skipped.replace(0), "{}", what());
    }
}

//! The decision module's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How far the module's clock has gone at the start: upstreams may have started before this balancer.
const BEFORE_START: Duration = Duration::from_secs(3600);

/// The module's clock: it only goes forward, from an hour before the start.
pub(super) struct Clock {
    start: Instant,
    /// Unix time of the start.
    start_unix: Duration,
}

impl Clock {
    /// One that starts now.
    pub(super) fn start() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix }
    }

    pub(super) fn now(&self) -> Duration {
        BEFORE_START + self.start.elapsed()
    }

    /// A Unix time on this clock; the same one always comes out the same. `None`: long ago.
    pub(super) fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + BEFORE_START).checked_sub(self.start_unix)?;
        // Not in the future, should clocks differ.
        (!at.is_zero()).then(|| at.min(self.now()))
    }
}

//! Clock of the decision module.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Time on the clock at the start of the process: upstreams may have started before the balancer.
const START_TIME: Duration = Duration::from_secs(3600);

/// Monotonic clock that starts at one hour.
pub(super) struct Clock {
    started_at: Instant,
    /// Unix time at which the clock was started.
    start_unix: Duration,
}

impl Clock {
    /// Starts the clock.
    pub(super) fn start() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), start_unix }
    }

    pub(super) fn now(&self) -> Duration {
        START_TIME + self.started_at.elapsed()
    }

    /// Converts a Unix time in milliseconds; equal inputs give equal results. Returns `None` for times before
    /// the clock's zero.
    pub(super) fn convert_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + START_TIME).checked_sub(self.start_unix)?;
        // Clock skew must not produce a time in the future.
        (!at.is_zero()).then(|| at.min(self.now()))
    }
}

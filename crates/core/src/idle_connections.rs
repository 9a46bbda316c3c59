//! Detection of idle connections that a network device has dropped silently. Times are in seconds.
//!
//! If attempts stay unanswered on previously idle connections, but not on connections in use, the network
//! path is presumed to drop idle connections. For a while, idle connections are then closed before use. A
//! wrong presumption costs one handshake per use.

use crate::attempt_result::AttemptResult;

/// Shortest idle time, in seconds, after which a connection may have been dropped.
const MIN_IDLE_S: f64 = 0.3;
/// Seconds for which idle connections are closed before use, counted from the last sign of a drop.
const CLOSE_IDLE_PERIOD_S: f64 = 15.0;
/// Weight of the newest attempt in the shares of unanswered attempts.
const NEWEST_ATTEMPT_WEIGHT: f64 = 0.2;
/// Minimum share of unanswered attempts on idle connections for closing idle connections before use, and
/// minimum ratio of this share to the one on connections in use.
const MIN_UNANSWERED_SHARE: f64 = 0.3;
const MIN_UNANSWERED_RATIO: f64 = 2.0;

/// Statistics about silently dropped idle connections.
#[derive(Default)]
pub(crate) struct IdleConnections {
    /// Shares of unanswered attempts, on connections in use and on idle ones.
    unanswered_share_in_use: f64,
    unanswered_share_idle: f64,
    /// Idle seconds after which a connection may be dead.
    max_safe_idle_s: f64,
    close_idle_until: f64,
}

impl IdleConnections {
    /// Records the result of one attempt.
    pub(crate) fn record(&mut self, result: &AttemptResult, now: f64) {
        let was_idle = result.idle_before_s > MIN_IDLE_S;
        if result.is_ok() || result.is_unanswered() {
            let share =
                if was_idle { &mut self.unanswered_share_idle } else { &mut self.unanswered_share_in_use };
            *share += NEWEST_ATTEMPT_WEIGHT * (f64::from(u8::from(result.is_unanswered())) - *share);
        }
        let is_frequent = self.unanswered_share_idle > MIN_UNANSWERED_SHARE;
        if result.is_unanswered() && was_idle && is_frequent && self.is_caused_by_idleness() {
            let previous_limit =
                if now < self.close_idle_until { self.max_safe_idle_s } else { f64::INFINITY };
            self.max_safe_idle_s = previous_limit.min(result.idle_before_s / 2.0).max(MIN_IDLE_S);
            self.close_idle_until = now + CLOSE_IDLE_PERIOD_S;
        }
    }

    /// Returns true if a connection with this idle time should be closed before use.
    pub(crate) fn may_be_dead(&self, idle_s: f64, now: f64) -> bool {
        idle_s > self.max_safe_idle_s && now < self.close_idle_until && self.is_caused_by_idleness()
    }

    fn is_caused_by_idleness(&self) -> bool {
        self.unanswered_share_idle > MIN_UNANSWERED_RATIO * self.unanswered_share_in_use
    }
}

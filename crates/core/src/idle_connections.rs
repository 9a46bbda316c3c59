//! Detection of idle connections that something on the way has dropped unseen. Times are seconds.
//!
//! If attempts stay unanswered on connections that had been idle, but not on connections in use, the path to
//! the upstreams is held to drop idle connections silently. They are then closed before use for a while.
//! Where that is wrong, it costs a handshake for each use.

use crate::attempt_result::AttemptResult;

/// A connection idle for longer than this may have been dropped unseen.
const MIN_IDLE_S: f64 = 0.3;
/// Seconds for which idle connections are closed before use after the last sign that they are dropped.
const ACTIVE_S: f64 = 15.0;
/// The weight of the newest attempt in the shares of unanswered ones.
const NEWEST_WEIGHT: f64 = 0.2;
/// The share of unanswered attempts on idle connections from which on they may be closed, and how many times
/// the share on connections in use it has to exceed.
const MIN_UNANSWERED_SHARE: f64 = 0.3;
const MIN_UNANSWERED_RATIO: f64 = 2.0;

/// What a balancer knows of idle connections that are dropped unseen.
#[derive(Default)]
pub(crate) struct IdleConnections {
    /// The shares of attempts never answered on connections in use and on idle ones.
    unanswered_in_use: f64,
    unanswered_idle: f64,
    /// The idle time after which a connection may be dead.
    idle_limit: f64,
    active_until: f64,
}

impl IdleConnections {
    /// Takes in the result of one attempt.
    pub(crate) fn record(&mut self, result: &AttemptResult, now: f64) {
        let was_idle = result.idle_before_s > MIN_IDLE_S;
        if result.is_ok() || result.is_unanswered() {
            let share = if was_idle { &mut self.unanswered_idle } else { &mut self.unanswered_in_use };
            *share += NEWEST_WEIGHT * (f64::from(u8::from(result.is_unanswered())) - *share);
        }
        let is_frequent = self.unanswered_idle > MIN_UNANSWERED_SHARE;
        if result.is_unanswered() && was_idle && is_frequent && self.is_idleness_the_cause() {
            let limit_before = if now < self.active_until { self.idle_limit } else { f64::INFINITY };
            self.idle_limit = limit_before.min(result.idle_before_s / 2.0).max(MIN_IDLE_S);
            self.active_until = now + ACTIVE_S;
        }
    }

    /// Returns whether a connection with this idle time is to be closed before use.
    pub(crate) fn may_be_dead(&self, idle_s: f64, now: f64) -> bool {
        idle_s > self.idle_limit && now < self.active_until && self.is_idleness_the_cause()
    }

    fn is_idleness_the_cause(&self) -> bool {
        self.unanswered_idle > MIN_UNANSWERED_RATIO * self.unanswered_in_use
    }
}

//! Result of one attempt, as recorded by the statistics.

use crate::interface::Outcome;

/// Outcome of one attempt and its state at the end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Seconds from sending the attempt to its end or to the start of its stream.
    pub(crate) latency: f64,
    /// True if the attempt was in flight for longer than the hedge delay.
    pub(crate) was_overdue: bool,
    /// True if the attempt was presumed lost, because a later one to the same upstream was answered first.
    pub(crate) was_lost: bool,
    /// Seconds for which the connection was idle before the attempt.
    pub(crate) idle_before_s: f64,
}

impl AttemptResult {
    /// Returns true if the upstream served the request.
    pub(crate) fn is_ok(&self) -> bool {
        self.outcome == Outcome::Ok
    }

    /// Returns true if the attempt was overdue and ended without an answer.
    pub(crate) fn is_unanswered(&self) -> bool {
        matches!(self.outcome, Outcome::TimedOut | Outcome::Cancelled) && self.was_overdue
    }

    /// Returns true if the attempt ended unanswered because the upstream was slow, not because the request
    /// was lost in the network.
    pub(crate) fn is_slow(&self) -> bool {
        self.is_unanswered() && !self.was_lost
    }

    /// Returns true if the latency reflects the load of the upstream.
    pub(crate) fn is_latency_sample(&self) -> bool {
        self.is_ok() || self.is_slow()
    }
}

//! The result of an attempt, as the statistics take it in.

use crate::interface::Outcome;

/// How one attempt ended, and what was known of it by then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Seconds since the attempt was sent.
    pub(crate) latency: f64,
    /// Whether the attempt had been out for longer than the hedge delay.
    pub(crate) was_overdue: bool,
    /// Whether later attempts to the same upstream had overtaken it.
    pub(crate) was_lost: bool,
    /// Seconds for which the connection had been idle before the attempt.
    pub(crate) idle_before_s: f64,
}

impl AttemptResult {
    /// Returns whether the upstream served the request.
    pub(crate) fn is_ok(&self) -> bool {
        self.outcome == Outcome::Ok
    }

    /// Returns whether the attempt was given up, overdue, without an answer.
    pub(crate) fn is_unanswered(&self) -> bool {
        matches!(self.outcome, Outcome::TimedOut | Outcome::Cancelled) && self.was_overdue
    }

    /// Returns whether the attempt was given up because the upstream was slow, not because it was lost on its
    /// way.
    pub(crate) fn is_slow(&self) -> bool {
        self.is_unanswered() && !self.was_lost
    }

    /// Returns whether the latency tells how busy the upstream is.
    pub(crate) fn is_latency_sample(&self) -> bool {
        self.is_ok() || self.is_slow()
    }
}

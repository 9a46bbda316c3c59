//! State of the requests in flight and of their attempts. Times are in seconds on the balancer's clock.

use crate::interface::{CellId, Effect, UpstreamId, ZoneId};

/// Attempt of a request, in flight or ended.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: f64,
    pub(crate) is_in_flight: bool,
    pub(crate) may_have_run: bool,
    /// True if the attempt has exceeded the hedge delay.
    pub(crate) is_overdue: bool,
    /// True if the attempt is included in the overdue count of its upstream.
    pub(crate) is_counted_overdue: bool,
    /// True if a later attempt to the same upstream was answered first, so that this attempt is presumed
    /// lost.
    pub(crate) is_lost: bool,
    /// True if the attempt was cancelled for a retry that is already charged to the budget.
    pub(crate) is_retry_paid: bool,
    /// True if the attempt streams, and so occupies no queue slot.
    pub(crate) is_streaming: bool,
    /// Time of the last part of its answer, if that has begun to arrive.
    pub(crate) last_progress_at: Option<f64>,
    /// Seconds for which the connection was idle before the attempt.
    pub(crate) idle_before_s: f64,
}

impl Attempt {
    /// Returns true if the attempt may take effect: it is in flight, or may have run.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.is_in_flight || self.may_have_run
    }
}

/// Request in flight, or an ended request with attempts still in flight.
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// Strictest effect of its class since the request arrived.
    pub(crate) effect: Effect,
    /// Smallest attempt limit in the settings since the request arrived.
    pub(crate) max_attempts: u8,
    /// Time after which an answer has no value.
    pub(crate) useful_until: f64,
    pub(crate) deadline: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) has_ended: bool,
    pub(crate) is_streaming: bool,
}

impl Request {
    /// Returns true if any attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.is_in_flight)
    }

    /// Returns true if the request has used all of its attempts.
    pub(crate) fn has_used_all_attempts(&self) -> bool {
        self.attempts.len() >= usize::from(self.max_attempts)
    }

    /// Returns true if the request may run only once and may already have run.
    pub(crate) fn is_repeat_forbidden(&self) -> bool {
        self.effect == Effect::AtMostOnce && self.attempts.iter().any(Attempt::may_take_effect)
    }
}

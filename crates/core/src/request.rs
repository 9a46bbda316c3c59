//! The state of the requests in flight and of their attempts. Times are seconds on the balancer's clock.

use crate::interface::{CellId, Effect, UpstreamId, ZoneId};

/// One attempt of a request.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: f64,
    pub(crate) is_in_flight: bool,
    pub(crate) may_have_run: bool,
    /// Whether it has been out for longer than the hedge delay.
    pub(crate) is_overdue: bool,
    /// Whether it counts among the overdue attempts of its upstream.
    pub(crate) is_counted_overdue: bool,
    /// Whether later attempts to the same upstream have overtaken it.
    pub(crate) is_lost: bool,
    /// Whether it was cancelled in favour of a retry that the budget has paid for.
    pub(crate) is_retry_paid: bool,
    /// Whether it streams, and so occupies no place in a queue.
    pub(crate) is_streaming: bool,
    /// How long its connection had been idle, in seconds.
    pub(crate) idle_before_s: f64,
}

impl Attempt {
    /// Returns whether the attempt may take effect: it is in flight, or may have run.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.is_in_flight || self.may_have_run
    }
}

/// A request in flight, or one that has ended with attempts still in flight.
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// The strictest effect that its class has had since it arrived.
    pub(crate) effect: Effect,
    /// The fewest attempts that the settings have allowed since it arrived.
    pub(crate) max_attempts: u8,
    /// An answer after this moment has no value.
    pub(crate) useful_until: f64,
    pub(crate) deadline: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) has_ended: bool,
    pub(crate) is_streaming: bool,
}

impl Request {
    /// Returns whether any attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.is_in_flight)
    }

    /// Returns whether the request has had all of its attempts.
    pub(crate) fn has_used_all_attempts(&self) -> bool {
        self.attempts.len() >= usize::from(self.max_attempts)
    }

    /// Returns whether no further attempt is allowed because the request may run only once and may have.
    pub(crate) fn may_have_run_its_once(&self) -> bool {
        self.effect == Effect::AtMostOnce && self.attempts.iter().any(Attempt::may_take_effect)
    }
}

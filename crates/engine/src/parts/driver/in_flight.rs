//! Request in flight, with its attempts.

use super::{Answer, RequestContext, Trace};
use crate::parts::answer::UpstreamResponse;
use crate::parts::attempt_limits::AttemptLimits;
use maplehook_core::exchange_time::MAX_HOLD_UP;
use maplehook_core::request_lifecycle::RequestLifecycle;
use maplehook_core::{Outcome, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Margin before the end of a key's window by which a retry must be written. It covers the path to the
/// upstream and the queueing there, and a hold-up of this process before the write.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50).saturating_add(MAX_HOLD_UP);

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) upstream: UpstreamId,
    pub(super) sent: Instant,
    pub(super) limits: AttemptLimits,
    pub(super) task: AbortHandle,
    /// True until the end of the attempt was reported to the decision module.
    pub(super) in_flight: bool,
    /// Time at which an answer began that is held.
    pub(super) answer_began_at: Option<Instant>,
    /// True once the decision module knows that the attempt streams.
    pub(super) is_streaming: bool,
    /// True if the attempt ended and is proved not to have run.
    never_ran: bool,
}

impl Attempt {
    /// Creates an attempt that starts now.
    pub(super) fn new(upstream: UpstreamId, sent: Instant, limits: AttemptLimits, task: AbortHandle) -> Self {
        Self {
            upstream,
            sent,
            limits,
            task,
            in_flight: true,
            answer_began_at: None,
            is_streaming: false,
            never_ran: false,
        }
    }

    /// Records the outcome of the attempt.
    pub(super) fn end(&mut self, outcome: Outcome) {
        self.in_flight = false;
        self.never_ran = outcome.never_ran();
    }
}

/// Request that awaits its final answer or the end of its attempts.
pub(super) struct InFlightRequest {
    pub(super) context: Rc<RequestContext>,
    /// Removed when the final answer is sent.
    pub(super) reply: Option<oneshot::Sender<(Answer, Trace)>>,
    pub(super) attempts: Vec<Attempt>,
    /// Last error response of an upstream, and that upstream.
    pub(super) last_error: Option<(UpstreamResponse, UpstreamId)>,
    /// Deduplication window of the request's key on arrival; `None` without a key.
    dedup_window: Option<Duration>,
    /// Shared with the attempts and with the final answer, if that streams.
    pub(super) lifecycle: Rc<RequestLifecycle>,
}

impl InFlightRequest {
    /// Creates the state of a request that has just arrived.
    pub(super) fn new(
        context: RequestContext,
        reply: oneshot::Sender<(Answer, Trace)>,
        dedup_window: Option<Duration>,
    ) -> Self {
        Self {
            context: Rc::new(context),
            reply: Some(reply),
            attempts: Vec::new(),
            last_error: None,
            dedup_window,
            lifecycle: Rc::default(),
        }
    }

    /// Takes the channel for the final answer, unless the request has ended. No attempt begins from then on.
    pub(super) fn take_reply(&mut self) -> Option<oneshot::Sender<(Answer, Trace)>> {
        self.lifecycle.on_answered();
        self.reply.take()
    }

    /// Ends a request whose client has left. Returns false if it had ended before.
    pub(super) fn abandon(&mut self) -> bool {
        let is_open = self.take_reply().is_some();
        self.lifecycle.on_ended();
        is_open
    }

    /// Returns true if nobody waits for the answer.
    pub(super) fn is_unattended(&self) -> bool {
        self.context.presence.as_ref().is_some_and(|presence| !presence.is_present())
    }

    /// Ends the request if nobody waits for it and nothing of it runs. Returns false if it goes on, or had ended
    /// before.
    pub(super) fn end_unattended(&mut self) -> bool {
        let is_running = self.attempts.iter().any(|a| a.in_flight && a.limits.has_started());
        if is_running || !self.is_unattended() {
            return false;
        }
        let Some(reply) = self.take_reply() else { return false };
        let never_ran = self.attempts.iter().all(|a| a.never_ran || !a.limits.has_started());
        let answer = if never_ran { Answer::Rejected(None) } else { Answer::Failed };
        let _ = reply.send((answer, Trace { attempts: self.attempts.len() as u8, upstream: None }));
        self.lifecycle.on_ended();
        true
    }

    /// Returns the limits of an attempt that is sent now. A retry of a keyed request respects the window that
    /// applied on arrival, and `dedup_window`, the one that applies now.
    pub(super) fn attempt_limits(&self, answer_by: Instant, dedup_window: Option<Duration>) -> AttemptLimits {
        self.repeat_limits(answer_by, dedup_window)
            .with_presence(self.context.presence.clone())
            .with_lifecycle(Rc::clone(&self.lifecycle))
    }

    fn repeat_limits(&self, answer_by: Instant, dedup_window: Option<Duration>) -> AttemptLimits {
        if self.attempts.is_empty() {
            return AttemptLimits::first(answer_by);
        }
        let earliest = self.attempts.iter().filter(|a| !a.never_ran).map(|a| a.sent).min();
        let dedup_window = self.dedup_window.into_iter().chain(dedup_window).min();
        let write_by = earliest
            .zip(dedup_window)
            .map(|(at, dedup_window)| at + dedup_window.saturating_sub(DELIVERY_MARGIN));
        AttemptLimits::repeat(answer_by, write_by)
    }

    /// Returns the attempts that have written nothing, if the request already has its answer.
    pub(super) fn unwritten_attempts(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, a)| self.reply.is_none() && a.in_flight && !a.limits.has_started())
    }
}

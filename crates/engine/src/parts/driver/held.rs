//! A request that the module decides on, and its attempts.

use super::{Answer, RequestContext, Trace};
use crate::parts::answer::UpstreamResponse;
use crate::parts::attempt_limits::AttemptLimits;
use maplehook_core::{Outcome, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long before the end of a key's window a repeat is written whole at the latest: the way to the upstream, and its wait
/// there until it is read.
const ON_THE_WAY: Duration = Duration::from_millis(50);

/// An attempt.
pub(super) struct Attempt {
    pub(super) upstream: UpstreamId,
    pub(super) sent: Instant,
    pub(super) terms: AttemptLimits,
    pub(super) task: AbortHandle,
    /// The module has not been told how it ended.
    pub(super) out: bool,
    /// The module has been told that it streams.
    pub(super) streams: bool,
    /// It has ended and is proved not to have run.
    never_ran: bool,
}

impl Attempt {
    /// One that begins.
    pub(super) fn new(upstream: UpstreamId, sent: Instant, terms: AttemptLimits, task: AbortHandle) -> Self {
        Self { upstream, sent, terms, task, out: true, streams: false, never_ran: false }
    }

    /// It has ended.
    pub(super) fn end(&mut self, outcome: Outcome) {
        self.out = false;
        self.never_ran = outcome.never_ran();
    }
}

/// A request.
pub(super) struct Held {
    pub(super) asked: Rc<RequestContext>,
    /// MemoryReservation with the final answer.
    pub(super) reply: Option<oneshot::Sender<(Answer, Trace)>>,
    pub(super) attempts: Vec<Attempt>,
    /// The last error in an upstream's own words, and whose they are.
    pub(super) words: Option<(UpstreamResponse, UpstreamId)>,
    /// How long its key was remembered when it came; `None`: it has none.
    window: Option<Duration>,
}

impl Held {
    /// One that has come.
    pub(super) fn new(
        asked: RequestContext,
        reply: oneshot::Sender<(Answer, Trace)>,
        window: Option<Duration>,
    ) -> Self {
        Self { asked: Rc::new(asked), reply: Some(reply), attempts: Vec::new(), words: None, window }
    }

    /// The terms of an attempt that is sent now. A repeat of a key keeps to the window of the settings that were in force when
    /// the request came, and to `window`, that of those in force now.
    pub(super) fn terms(&self, give_up: Instant, window: Option<Duration>) -> AttemptLimits {
        let presence = self.asked.presence.clone();
        if self.attempts.is_empty() {
            return AttemptLimits::first(give_up).with_presence(presence);
        }
        let earliest = self.attempts.iter().filter(|a| !a.never_ran).map(|a| a.sent).min();
        let window = self.window.into_iter().chain(window).min();
        let write_by = earliest.zip(window).map(|(at, window)| at + window.saturating_sub(ON_THE_WAY));
        AttemptLimits::repeat(give_up, write_by).with_presence(presence)
    }

    /// Attempts of which nothing has been written though their request is over.
    pub(super) fn left_over(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, a)| self.reply.is_none() && a.out && !a.terms.has_begun())
    }
}

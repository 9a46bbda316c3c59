//! Limits of an attempt: the time until which it may be written, and until which its response is awaited.
//!
//! An attempt is written later than it is decided on: it may wait for a descriptor, for a connection, and for
//! its turn on this thread, and the whole process may be suspended meanwhile. Its limits are therefore
//! checked again right before its first byte is written.

use maplehook_core::request_lifecycle::RequestLifecycle;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest excess of the time announced to an upstream over the time actually left. A request is built one
/// turn of this thread before it is written; the protocol tests allow 150 ms in total, the path to the
/// upstream included.
const MAX_ANNOUNCED_EXCESS: Duration = Duration::from_millis(100);

/// Reason why a request was not written, or not completely, though its connection was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldReason {
    /// A deadline has passed, the request has ended, or it may no longer be sent.
    TooLate,
    /// The announced time exceeds the time left by too much; the request must be built again.
    StaleTimeLeft,
}

/// Reports whether somebody still waits for the answer: the client, or one of those that share it. The check
/// queries the current state, which may be newer than the runtime's information.
#[derive(Clone)]
pub struct Presence(Rc<dyn Fn() -> bool>);

impl Presence {
    /// Creates a check from a function that returns true while somebody waits.
    pub fn new(is_present: impl Fn() -> bool + 'static) -> Self {
        Self(Rc::new(is_present))
    }

    /// Returns true if somebody waits now.
    pub fn is_present(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for Presence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Presence")
    }
}

/// Receives reports that a held answer comes.
#[derive(Clone)]
pub struct ProgressObserver(Rc<dyn Fn()>);

impl ProgressObserver {
    /// Creates an observer from a function that is called with each report.
    pub fn new(on_progress: impl Fn() + 'static) -> Self {
        Self(Rc::new(on_progress))
    }

    pub(crate) fn on_progress(&self) {
        (self.0)();
    }
}

impl fmt::Debug for ProgressObserver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ProgressObserver")
    }
}

/// Limits of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// Time until which the response is awaited.
    pub answer_by: Instant,
    /// Time at which the client stops waiting.
    pub deadline: Instant,
    /// Time before which the last byte must be written: a retry outside the window of its key would run the
    /// request a second time.
    pub write_by: Option<Instant>,
    /// True for every attempt after a request's first.
    pub is_repeat: bool,
    /// Whether somebody waits for the answer, without whom no attempt begins.
    presence: Option<Presence>,
    /// True once the first byte may have been written.
    started: Rc<Cell<bool>>,
    /// Told that an answer has begun and comes, while it is held.
    progress: Option<ProgressObserver>,
    /// Life cycle of the request.
    lifecycle: Rc<RequestLifecycle>,
}

impl AttemptLimits {
    /// Creates the limits of a request's first attempt.
    pub fn first(answer_by: Instant) -> Self {
        Self {
            answer_by,
            deadline: answer_by,
            write_by: None,
            is_repeat: false,
            presence: None,
            started: Rc::default(),
            progress: None,
            lifecycle: Rc::default(),
        }
    }

    /// Creates the limits of a retry or a hedge.
    pub fn repeat(answer_by: Instant, write_by: Option<Instant>) -> Self {
        Self { write_by, is_repeat: true, ..Self::first(answer_by) }
    }

    /// Makes the attempt depend on somebody who waits for the answer.
    pub fn with_presence(self, presence: Option<Presence>) -> Self {
        Self { presence, ..self }
    }

    /// Ends the permission to begin the attempt with the request.
    pub fn with_lifecycle(self, lifecycle: Rc<RequestLifecycle>) -> Self {
        Self { lifecycle, ..self }
    }

    /// Sets the time at which the client stops waiting, which may be later than that for this attempt.
    pub fn with_deadline(self, deadline: Instant) -> Self {
        Self { deadline, ..self }
    }

    /// Reports to `observer` that an answer comes that is held.
    pub fn with_progress(self, observer: ProgressObserver) -> Self {
        Self { progress: Some(observer), ..self }
    }

    /// Returns the observer of answers that come and are held.
    pub fn progress(&self) -> Option<&ProgressObserver> {
        self.progress.as_ref()
    }

    /// Returns the remaining time to wait for the response.
    pub fn time_left(&self) -> Duration {
        self.answer_by.saturating_duration_since(Instant::now())
    }

    /// Returns true if the first byte may have been written.
    pub fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Records that the first byte is about to be written.
    pub(crate) fn mark_started(&self) {
        self.started.set(true);
    }

    /// Checks that a request may be written now that announces the time `announced`, where `still_left` would
    /// be announced now.
    pub(crate) fn check(&self, announced: Duration, still_left: Duration) -> Result<(), WithheldReason> {
        if self.time_left().is_zero() || self.write_by.is_some_and(|by| Instant::now() >= by) {
            return Err(WithheldReason::TooLate);
        }
        if !self.lifecycle.may_begin_attempt() {
            return Err(WithheldReason::TooLate);
        }
        if self.presence.as_ref().is_some_and(|presence| !presence.is_present()) {
            return Err(WithheldReason::TooLate);
        }
        if announced > still_left + MAX_ANNOUNCED_EXCESS {
            return Err(WithheldReason::StaleTimeLeft);
        }
        Ok(())
    }
}

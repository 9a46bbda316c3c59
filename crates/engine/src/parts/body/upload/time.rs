//! Time of an exchange whose request body streams: the limit that binds, since when, and who is waited for.

use crate::parts::time_limit::TimeLimit;
use maplehook_core::exchange_time::{AnswerDue, SenderClock};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Delay before a sender timeout is confirmed.
const RECHECK_DELAY: Duration = Duration::from_millis(1);

/// Timeouts of a streaming body.
#[derive(Clone, Copy, Debug)]
pub struct UploadTimeouts {
    /// Longest time in which the upstream accepts no data.
    pub idle: Duration,
    /// Longest time in which the sender provides no data.
    pub sender: Duration,
    /// Longest time for the whole body.
    pub total: Duration,
    /// How long the sender waits for the response after the last byte that it has written.
    pub answer: Duration,
}

/// What is known of the time at which a sender has written its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderTimes {
    /// Last time at which it provably had not written it.
    pub incomplete_at: Instant,
    /// Time at which the last byte was received; `None` before that.
    pub completed_at: Option<Instant>,
}

/// Source of what is known of a sender; it may read the body ahead of the upload.
pub trait SenderProgress {
    /// Returns what is known now.
    fn sender_times(&self) -> SenderTimes;
}

/// Time of an exchange whose request body streams.
pub struct UploadTime {
    timeouts: UploadTimeouts,
    created_at: Instant,
    /// Last time that data was sent or received.
    last_progress: Cell<Instant>,
    /// Start of the current wait for the sender; unset while the sender is not the bottleneck.
    waiting_since: Cell<Option<Instant>>,
    /// What the body itself shows of its sender, for bodies without another source.
    clock: RefCell<SenderClock>,
    completed_at: Cell<Option<Instant>>,
    sender: RefCell<Option<Rc<dyn SenderProgress>>>,
}

impl UploadTime {
    pub(super) fn new(timeouts: UploadTimeouts) -> Self {
        let now = Instant::now();
        Self {
            timeouts,
            created_at: now,
            last_progress: Cell::new(now),
            waiting_since: Cell::new(None),
            clock: RefCell::new(SenderClock::new(Duration::ZERO)),
            completed_at: Cell::new(None),
            sender: RefCell::default(),
        }
    }

    /// Takes the sender's times from `sender` from now on.
    pub fn follow_sender(&self, sender: Rc<dyn SenderProgress>) {
        *self.sender.borrow_mut() = Some(sender);
    }

    /// Returns how long the sender may send nothing.
    pub fn sender_timeout(&self) -> Duration {
        self.timeouts.sender
    }

    /// Returns the start of the time, which [`AnswerDue`] counts from.
    pub fn origin(&self) -> Instant {
        self.created_at
    }

    /// Returns when the final answer is due, as far as that is known now.
    pub fn due(&self) -> AnswerDue {
        let SenderTimes { incomplete_at, completed_at } = self.sender_times();
        let since_origin = |at: Instant| at.saturating_duration_since(self.created_at);
        AnswerDue::new(since_origin(incomplete_at), completed_at.map(since_origin), self.timeouts.answer)
    }

    fn sender_times(&self) -> SenderTimes {
        match &*self.sender.borrow() {
            Some(sender) => sender.sender_times(),
            None => SenderTimes {
                incomplete_at: self.created_at + self.clock.borrow().incomplete_at(self.now()),
                completed_at: self.completed_at.get(),
            },
        }
    }

    fn now(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Records that data was sent or received.
    pub(super) fn on_progress(&self) {
        self.last_progress.set(Instant::now());
        self.waiting_since.set(None);
    }

    /// Records that the upstream accepts nothing, so that nothing is read from the sender.
    pub(super) fn on_blocked(&self) {
        self.waiting_since.set(None);
    }

    /// Records that data is requested from the sender.
    pub(super) fn on_read(&self) {
        self.waiting_since.set(Some(self.waiting_since.get().unwrap_or_else(Instant::now)));
    }

    /// Records that the sender has no data to read.
    pub(super) fn on_drained(&self) {
        self.clock.borrow_mut().on_drained(self.now());
    }

    /// Records that `bytes` of the body were received; `remaining` are still to come, if that is known.
    pub(super) fn on_received(&self, bytes: usize, remaining: Option<u64>) {
        self.clock.borrow_mut().on_received(self.now(), bytes, remaining);
    }

    /// Records that the last byte was received.
    pub(super) fn on_complete(&self) {
        self.completed_at.set(Some(Instant::now()));
    }

    /// Returns the limit that binds now, and when it is exceeded unless something happens before.
    fn binding_limit(&self, answer_by: fn(&AnswerDue) -> Duration) -> (Instant, TimeLimit) {
        let UploadTimeouts { idle, sender, total, .. } = self.timeouts;
        let is_complete = self.completed_at.get().is_some();
        let waiting_since = self.waiting_since.get().filter(|_| !is_complete);
        let progress = match waiting_since {
            Some(start) => Some((start + sender, TimeLimit::ClientIdle)),
            None if is_complete => None,
            None => Some((self.last_progress.get() + idle, TimeLimit::UpstreamIdle)),
        };
        let due = (self.created_at + answer_by(&self.due()), TimeLimit::AnswerDue);
        let total = (self.created_at + total, TimeLimit::Total);
        progress.into_iter().fold(if due.0 <= total.0 { due } else { total }, |first, other| {
            if other.0 <= first.0 { other } else { first }
        })
    }

    /// Returns when the limits have to be looked at again: the sender may complete the request, or go silent.
    fn next_check(&self, exceeded_at: Instant, now: Instant) -> Instant {
        let earliest = self.created_at + self.due().earliest;
        let next = exceeded_at.min(now + self.timeouts.sender);
        if earliest > now { next.min(earliest) } else { next }
    }

    /// Waits until a limit is exceeded, and returns it; `answer_by` picks the time until which the answer is
    /// awaited.
    pub(super) async fn wait_until_exceeded(&self, answer_by: fn(&AnswerDue) -> Duration) -> TimeLimit {
        let mut rechecked = false;
        loop {
            let ((exceeded_at, limit), now) = (self.binding_limit(answer_by), Instant::now());
            if exceeded_at > now {
                rechecked = false;
                sleep_until(self.next_check(exceeded_at, now)).await;
            } else if limit == TimeLimit::ClientIdle && !rechecked {
                // After a suspension of the process, timers fire before the data that arrived meanwhile is
                // read.
                rechecked = true;
                sleep(RECHECK_DELAY).await;
            } else {
                return limit;
            }
        }
    }
}

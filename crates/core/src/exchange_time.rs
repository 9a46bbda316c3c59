//! Time at which the final answer to a request is due.
//!
//! A client counts its wait from the last byte that it has written. A balancer sees that byte only when it
//! reads it: until then it may lie in the buffers of both kernels. [`SenderClock`] therefore keeps the last
//! time at which the client provably had not written it, and [`AnswerDue`] derives when a final answer must
//! have begun.
//!
//! All times are [`Duration`]s on one monotonic clock that the embedder chooses.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time for which the balancer may be held up between reading its clock and writing. It has to fit
/// before the limit of whatever is written.
pub const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// Time after a request's own by which a final answer must have begun that is not known to be in time: an
/// answer counts for 0.5 s, less [`MAX_HOLD_UP`] and a margin for delivering it.
pub const LATE_BEGIN_GRACE: Duration = Duration::from_millis(330);
/// Like [`LATE_BEGIN_GRACE`], for a request whose last byte may have lain unread during a hold-up: two of
/// them fit.
pub const LATE_HELD_GRACE: Duration = LATE_BEGIN_GRACE.saturating_sub(MAX_HOLD_UP);
/// Time after a request's own by which an answer is cut off that has begun for the client and may become
/// long.
/// Upstreams pause for up to 0.8 s within a long answer.
pub const LATE_END_GRACE: Duration = Duration::from_millis(430);

/// Time for which an upstream is waited for, in all, once a short answer must have ended: what came while its
/// reader took nothing is read first.
const MAX_LATE_WAIT: Duration = Duration::from_millis(20);

/// Most bytes that the kernels of a client and of the balancer hold unread: Linux bounds a send buffer to 4
/// MiB, and a receive buffer that nobody reads stays small.
const MAX_HIDDEN_BYTES: u64 = (4 << 20) + (256 << 10);
/// Number of marks that divide the hidden bytes.
const MARKS: u64 = 16;

/// Bytes received until a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Duration,
    received: u64,
}

/// Tracks when the sender of a request had not yet written its last byte.
#[derive(Clone, Debug)]
pub struct SenderClock {
    incomplete_at: Duration,
    /// True while everything that the sender has written was received.
    is_drained: bool,
    received: u64,
    marks: VecDeque<Mark>,
}

impl SenderClock {
    /// Starts the clock of a request whose sender was seen writing at `now`.
    pub fn new(now: Duration) -> Self {
        Self { incomplete_at: now, is_drained: false, received: 0, marks: VecDeque::new() }
    }

    /// Records that nothing is left to read, though the request is incomplete.
    pub fn on_drained(&mut self, now: Duration) {
        self.is_drained = true;
        self.incomplete_at = now;
    }

    /// Records that data waits to be read.
    pub fn on_unread(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_drained) {
            self.incomplete_at = now;
        }
    }

    /// Records that `bytes` were read; `remaining` is the number of bytes that are still to come, if known.
    pub fn on_received(&mut self, now: Duration, bytes: usize, remaining: Option<u64>) {
        self.on_unread(now);
        self.received += bytes as u64;
        if remaining.is_some_and(|remaining| remaining > MAX_HIDDEN_BYTES) {
            self.incomplete_at = now;
        }
        if self.marks.back().is_none_or(|mark| self.received - mark.received >= MAX_HIDDEN_BYTES / MARKS) {
            self.marks.push_back(Mark { at: now, received: self.received });
        }
        // More was received since a mark than could have been hidden then.
        while let Some(mark) = self.marks.front().filter(|m| self.received - m.received > MAX_HIDDEN_BYTES) {
            self.incomplete_at = self.incomplete_at.max(mark.at);
            self.marks.pop_front();
        }
    }

    /// Returns the last time until `now` at which the sender had not written its last byte.
    pub fn incomplete_at(&self, now: Duration) -> Duration {
        if self.is_drained { now } else { self.incomplete_at }
    }
}

/// When the final answer to a request is due. Its sender counts from some time between the last one at which
/// the request was incomplete and the one at which its last byte was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerDue {
    /// Earliest time at which the answer may be due.
    pub earliest: Duration,
    /// Latest time at which it may be due; `None` while the request is incomplete.
    pub latest: Option<Duration>,
}

impl AnswerDue {
    /// Returns when the answer to a request is due whose sender waits for `wait`.
    pub fn new(incomplete_at: Duration, completed_at: Option<Duration>, wait: Duration) -> Self {
        let earliest = completed_at.map_or(incomplete_at, |at| at.min(incomplete_at)) + wait;
        Self { earliest, latest: completed_at.map(|at| at + wait) }
    }

    /// Returns the time by which a final answer must have begun.
    pub fn begin_by(&self) -> Duration {
        let begin_by = self.earliest + LATE_BEGIN_GRACE;
        self.latest.map_or(begin_by, |latest| latest.min(begin_by))
    }

    /// Returns the time by which an answer must have begun that is held.
    pub fn begin_held_by(&self) -> Duration {
        self.earliest + LATE_BEGIN_GRACE
    }

    /// Returns the time by which a short answer must have ended that has begun.
    pub fn end_by(&self) -> Duration {
        self.earliest + LATE_END_GRACE
    }
}

/// Time for which the upstream of a short answer was waited for after the answer must have ended. Time in
/// which the reader of the answer takes nothing is not part of it: a slow reader does not break a timely
/// answer off, and an upstream that sends a byte now and then does not prolong it.
#[derive(Clone, Debug, Default)]
pub struct LateWait {
    waited: Duration,
    waiting_since: Option<Duration>,
}

impl LateWait {
    /// Records that the upstream has sent nothing more.
    pub fn on_wait(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that the upstream has sent something of an answer that must end by `end_by`.
    pub fn on_data(&mut self, now: Duration, end_by: Duration) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += now.saturating_sub(since.max(end_by));
        }
    }

    /// Returns when the answer is cut off unless more of it comes; `None` if the upstream is not waited for.
    pub fn cut_off_at(&self, end_by: Duration) -> Option<Duration> {
        let allowance = MAX_LATE_WAIT.saturating_sub(self.waited);
        self.waiting_since.map(|since| end_by.max(since + allowance))
    }
}

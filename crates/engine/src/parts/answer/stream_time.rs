//! Time of an answer that is passed on while it is received: which limit binds, and since when the upstream
//! is waited for.

use crate::parts::exchange_time::ExchangeTime;
use crate::parts::time_limit::{LimitedExchange, TimeLimit, TimeLimitLog};
use maplehook_core::UpstreamId;
use maplehook_core::unsized_answer::UnsizedAnswer;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Progress of an answer without a stated length, from its head on.
#[derive(Debug)]
pub struct UnsizedProgress {
    head_at: Instant,
    answer: UnsizedAnswer,
    /// Bytes up to which the answer is short; `None` if it may last as long as it comes, however short it is.
    max_short_bytes: Option<u64>,
    time: ExchangeTime,
}

impl UnsizedProgress {
    /// Starts the progress of an answer whose head has come.
    pub fn new(max_short_bytes: Option<u64>, time: ExchangeTime) -> Self {
        Self { head_at: Instant::now(), answer: UnsizedAnswer::default(), max_short_bytes, time }
    }

    /// Records that the upstream is waited for.
    pub fn on_wait(&mut self) {
        self.answer.on_wait(self.head_at.elapsed());
    }

    /// Records that `bytes` were received.
    pub fn on_data(&mut self, bytes: usize) {
        self.answer.on_data(self.head_at.elapsed(), bytes);
    }

    /// Returns true if the answer may be passed on though its time has come.
    pub fn may_go_on(&self) -> bool {
        self.max_short_bytes.is_none() || self.answer.is_coming(self.head_at.elapsed())
    }

    /// Returns true if the answer must be passed on once answers have to have begun, though it has stopped.
    pub fn may_become_long(&self) -> bool {
        self.max_short_bytes.is_none() || self.answer.may_become_long()
    }

    /// Returns when the answer is cut off unless more of it comes; `None` if it may go on.
    fn cut_off_at(&self) -> Option<Instant> {
        self.max_short_bytes.filter(|most| self.answer.received() <= *most)?;
        let end_by = if self.may_become_long() { self.time.end_by() } else { self.time.begin_held_by() };
        let end_by = end_by.saturating_duration_since(self.head_at);
        self.answer.cut_off_at(end_by).map(|cut_off_at| self.head_at + cut_off_at)
    }
}

/// Exchange that a streamed answer belongs to, for the log.
#[derive(Clone)]
pub struct StreamOrigin {
    /// Upstream that answers.
    pub upstream: UpstreamId,
    /// Number of the connection in the log.
    pub connection: u64,
    /// Start of the attempt.
    pub started_at: Instant,
    /// Bytes of the request that were written.
    pub written: u64,
    /// Receives the limit that ends the exchange.
    pub log: Rc<TimeLimitLog>,
}

/// Time of a streamed answer.
pub struct StreamTime {
    idle: Duration,
    deadline: Instant,
    unsized_progress: Option<UnsizedProgress>,
    received: u64,
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
    origin: StreamOrigin,
}

impl StreamTime {
    /// Creates the time of an answer that may be silent for `idle` and last until `deadline`;
    /// `unsized_progress` is that of an answer without a stated length.
    pub fn new(
        idle: Duration,
        deadline: Instant,
        unsized_progress: Option<UnsizedProgress>,
        origin: StreamOrigin,
    ) -> Self {
        Self { idle, deadline, unsized_progress, received: 0, waiting_since: None, timer: None, origin }
    }

    /// Records that `bytes` were received.
    pub fn on_data(&mut self, bytes: usize) {
        self.waiting_since = None;
        self.received += bytes as u64;
        self.unsized_progress.iter_mut().for_each(|progress| progress.on_data(bytes));
    }

    /// Completes with the limit that ends the answer, while the upstream sends nothing.
    pub fn poll_exceeded(&mut self, cx: &mut Context<'_>) -> Poll<TimeLimit> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        self.unsized_progress.iter_mut().for_each(UnsizedProgress::on_wait);
        loop {
            let (exceeded_at, limit) = self.binding_limit(waiting_since);
            if exceeded_at <= Instant::now() {
                return Poll::Ready(limit);
            }
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(exceeded_at)));
            if timer.deadline() != exceeded_at {
                timer.as_mut().reset(exceeded_at);
            }
            ready!(timer.as_mut().poll(cx));
        }
    }

    /// Returns the limit on the whole answer, if it is exceeded.
    pub fn exceeded_total(&self) -> Option<TimeLimit> {
        (self.deadline <= Instant::now()).then_some(TimeLimit::Total)
    }

    /// Records that a limit has ended the answer.
    pub fn record(&self, limit: TimeLimit) {
        let StreamOrigin { upstream, connection, started_at, written, log } = &self.origin;
        log.record(&LimitedExchange {
            limit,
            upstream: *upstream,
            connection: *connection,
            lasted: started_at.elapsed(),
            written: *written,
            received: self.received,
        });
    }

    fn binding_limit(&self, waiting_since: Instant) -> (Instant, TimeLimit) {
        let idle = (waiting_since + self.idle, TimeLimit::UpstreamIdle);
        let cut_off_at = self.unsized_progress.as_ref().and_then(UnsizedProgress::cut_off_at);
        let short = cut_off_at.map(|at| (at, TimeLimit::ShortAnswerDue));
        let earlier = |first: (Instant, TimeLimit), other: (Instant, TimeLimit)| {
            if other.0 < first.0 { other } else { first }
        };
        short.into_iter().fold(earlier(idle, (self.deadline, TimeLimit::Total)), earlier)
    }
}

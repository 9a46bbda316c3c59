//! Time of an answer that is passed on while it is received: which limit binds, and since when the upstream
//! is waited for.

use super::answer_progress::AnswerProgress;
use crate::parts::time_limit::{LimitedExchange, TimeLimit, TimeLimitLog};
use maplehook_core::UpstreamId;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

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
    progress: AnswerProgress,
    received: u64,
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
    origin: StreamOrigin,
}

impl StreamTime {
    /// Creates the time of an answer that may be silent for `idle` and last until `deadline`, and has to end
    /// earlier as far as its `progress` says so.
    pub fn new(idle: Duration, deadline: Instant, progress: AnswerProgress, origin: StreamOrigin) -> Self {
        Self { idle, deadline, progress, received: 0, waiting_since: None, timer: None, origin }
    }

    /// Records that `bytes` were received.
    pub fn on_data(&mut self, bytes: usize) {
        self.waiting_since = None;
        self.received += bytes as u64;
        self.progress.on_data(bytes);
    }

    /// Completes with the limit that ends the answer, while the upstream sends nothing.
    pub fn poll_exceeded(&mut self, cx: &mut Context<'_>) -> Poll<TimeLimit> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        self.progress.on_wait();
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
        let short = self.progress.cut_off_at().map(|at| (at, TimeLimit::ShortAnswerDue));
        let earlier = |first: (Instant, TimeLimit), other: (Instant, TimeLimit)| {
            if other.0 < first.0 { other } else { first }
        };
        short.into_iter().fold(earlier(idle, (self.deadline, TimeLimit::Total)), earlier)
    }
}

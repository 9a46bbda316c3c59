//! Time of one exchange, from the first byte of the request to the last byte of the answer: by when its
//! answer has to begin, by when a short one has to end, and which limit ends it otherwise.

use crate::parts::attempt_limits::AttemptLimits;
use crate::parts::body::{Payload, Upload};
use crate::parts::time_limit::TimeLimit;
use maplehook_core::exchange_time::{AnswerDue, LATE_END_GRACE, LATE_HELD_GRACE};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time before the request's own at which a held answer is passed on, so that its first bytes arrive in time.
const PASS_ON_MARGIN: Duration = Duration::from_millis(20);

/// Time of one attempt's exchange.
#[derive(Clone, Debug)]
pub struct ExchangeTime {
    /// Time until which the answer to a complete request is awaited.
    answer_by: Instant,
    /// Time at which the client of a complete request stops waiting.
    deadline: Instant,
    /// Body of a request that streams, which has a time of its own.
    upload: Option<Rc<Upload>>,
}

impl ExchangeTime {
    /// Creates the time of an attempt to send a request with this body.
    pub fn new(body: &Payload, limits: &AttemptLimits) -> Self {
        Self { answer_by: limits.answer_by, deadline: limits.deadline, upload: body.upload() }
    }

    /// Returns from when on what has come of a final answer is passed on.
    pub fn pass_on_at(&self) -> Instant {
        let due = self.upload_due(|due| due.earliest).unwrap_or(self.answer_by);
        due.checked_sub(PASS_ON_MARGIN).unwrap_or(due)
    }

    /// Returns by when a final answer has to begin, as far as that is known now.
    pub fn begin_by(&self) -> Instant {
        self.upload_due(AnswerDue::begin_by).unwrap_or(self.answer_by)
    }

    /// Returns by when an answer has to begin that is held, as far as that is known now.
    pub fn begin_held_by(&self) -> Instant {
        self.upload_due(AnswerDue::begin_held_by).unwrap_or_else(|| self.deadline + LATE_HELD_GRACE)
    }

    /// Returns by when a short answer has to end that has begun, as far as that is known now.
    pub fn end_by(&self) -> Instant {
        self.upload_due(AnswerDue::end_by).unwrap_or_else(|| self.deadline + LATE_END_GRACE)
    }

    /// Returns the time left that is announced to the upstream of a request that is written now. The client of a
    /// request that streams may have written its last byte already, so that its time runs.
    pub fn announced(&self) -> Duration {
        let wait = self.answer_by.saturating_duration_since(Instant::now());
        let due = self.upload_due(|due| due.earliest);
        due.map_or(wait, |due| due.saturating_duration_since(Instant::now()).min(wait))
    }

    fn upload_due(&self, part: impl FnOnce(&AnswerDue) -> Duration) -> Option<Instant> {
        self.upload.as_ref().map(|upload| upload.time().origin() + part(&upload.time().due()))
    }

    /// Runs a part of the exchange in which the final answer has not begun, unless a limit ends the exchange
    /// before.
    pub async fn limit<T>(&self, part: impl Future<Output = T>) -> Result<T, TimeLimit> {
        match &self.upload {
            None => timeout_at(self.answer_by, part).await.map_err(|_| TimeLimit::AnswerDue),
            Some(upload) => tokio::select! {
                result = part => Ok(result),
                limit = upload.wait_until_timed_out(AnswerDue::begin_by) => Err(limit),
            },
        }
    }

    /// Runs a part of the exchange in which the final answer is received, and held.
    pub async fn limit_held<T>(&self, part: impl Future<Output = T>) -> Result<T, TimeLimit> {
        match &self.upload {
            None => timeout_at(self.begin_held_by(), part).await.map_err(|_| TimeLimit::AnswerDue),
            Some(upload) => tokio::select! {
                result = part => Ok(result),
                limit = upload.wait_until_timed_out(AnswerDue::begin_held_by) => Err(limit),
            },
        }
    }
}

//! Time of one exchange, from the first byte of the request to the last byte of the answer: by when its answer has
//! to begin, by when a short one has to end, and which limit ends it otherwise.

use crate::parts::attempt_limits::AttemptLimits;
use crate::parts::body::{Payload, Upload};
use crate::parts::time_limit::TimeLimit;
use std::future::Future;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Time of one attempt's exchange.
#[derive(Clone, Debug)]
pub struct ExchangeTime {
    /// Time until which the answer to a complete request is awaited.
    answer_by: Instant,
    /// Body of a request that streams, which has a time of its own.
    upload: Option<Rc<Upload>>,
}

impl ExchangeTime {
    /// Creates the time of an attempt to send a request with this body.
    pub fn new(body: &Payload, limits: &AttemptLimits) -> Self {
        Self { answer_by: limits.answer_by, upload: body.upload() }
    }

    /// Returns by when a final answer has to begin, as far as that is known now.
    pub fn begin_by(&self) -> Instant {
        self.upload.as_ref().map_or(self.answer_by, |upload| {
            let time = upload.time();
            time.origin() + time.due().begin_by()
        })
    }

    /// Runs a part of the exchange, unless a limit ends the exchange before.
    pub async fn limit<T>(&self, part: impl Future<Output = T>) -> Result<T, TimeLimit> {
        match &self.upload {
            None => timeout_at(self.answer_by, part).await.map_err(|_| TimeLimit::AnswerDue),
            Some(upload) => tokio::select! {
                result = part => Ok(result),
                limit = upload.wait_until_timed_out() => Err(limit),
            },
        }
    }
}

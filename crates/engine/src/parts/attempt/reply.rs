//! Response to one attempt: its head, and a body that is buffered or streamed.

use super::unsized_body::HeldAnswer;
use crate::parts::answer::{AnswerLength, AnswerProgress, is_malformed_body, read_available};
use crate::parts::attempt_limits::ProgressObserver;
use crate::parts::body::{Failure, collect_body};
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::exchange_time::ExchangeTime;
use crate::parts::time_limit::TimeLimit;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use maplehook_http_semantics::{Answers, Means, Passage};
use rustc_hash::FxHasher;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::hash::Hasher;

/// Longest error body that is buffered, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Response head with the start of the body.
pub(super) struct Reply {
    pub(super) parts: Parts,
    pub(super) means: Means,
    pub(super) body: ReceivedBody,
}

impl Reply {
    /// Returns a digest of status and body, or `None` if the body is empty or streams.
    pub(super) fn digest(&self) -> Option<u64> {
        let ReceivedBody::Complete(body) = &self.body else { return None };
        if body.is_empty() {
            return None;
        }
        let mut hasher = FxHasher::default();
        hasher.write_u16(self.parts.status.as_u16());
        hasher.write(body);
        Some(hasher.finish())
    }
}

/// Body of a response, as far as it was received.
pub(super) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// The frames received so far, the rest of the body, and its progress.
    Streaming(VecDeque<Frame<Bytes>>, Incoming, AnswerProgress),
    /// A complete body that was dropped for want of memory.
    Dropped,
}

impl ReceivedBody {
    /// Returns the body if it is complete and in memory.
    pub(super) fn into_complete(self) -> Option<Bytes> {
        match self {
            Self::Complete(body) => Some(body),
            Self::Streaming(..) | Self::Dropped => None,
        }
    }

    /// Reads what has come of a body that streams. Another attempt can be made for a body that has failed before
    /// any of it was passed on.
    fn check(mut self) -> Result<Self, ExchangeError> {
        if let Self::Streaming(received, body, progress) = &mut self {
            let bytes = read_available(body, received).map_err(body_error)?;
            if bytes > 0 {
                progress.on_data(bytes);
            }
        }
        Ok(self)
    }
}

/// Reason why an exchange produced no response.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// The connection was closed.
    Closed(Failure),
    /// The response is malformed, though the connection works. The request may have run; the upstream is
    /// treated as one that responds with an error.
    Malformed(Failure),
    /// A time limit has ended the exchange.
    TimedOut(TimeLimit),
}

impl From<TimeLimit> for ExchangeError {
    fn from(limit: TimeLimit) -> Self {
        Self::TimedOut(limit)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(e) => write!(f, "connection closed: {e}"),
            Self::Malformed(e) => write!(f, "malformed response: {e}"),
            Self::TimedOut(limit) => write!(f, "time limit: {}", limit.name()),
        }
    }
}

impl From<hyper::Error> for ExchangeError {
    fn from(e: hyper::Error) -> Self {
        let is_parse = e.is_parse();
        let e = e.into();
        if is_parse || is_malformed_body(&e) { Self::Malformed(e) } else { Self::Closed(e) }
    }
}

/// Classifies an error of a response body.
pub(super) fn body_error(e: Failure) -> ExchangeError {
    if is_malformed_body(&e) { ExchangeError::Malformed(e) } else { ExchangeError::Closed(e) }
}

/// Sends one request and reads the response, within the time of the exchange: completely, or up to the point
/// where it streams. `observer` is told of an answer that comes and is held.
pub(super) async fn exchange(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    passage: &Passage,
    body_memory: &BufferMemory,
    time: &ExchangeTime,
    observer: Option<&ProgressObserver>,
) -> Result<Reply, ExchangeError> {
    let (parts, body) = time.limit(response).await??.into_parts();
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(ExchangeError::Malformed("both Content-Length and Transfer-Encoding".into()));
    }
    if parts.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(ExchangeError::Malformed("unrequested protocol upgrade (status 101)".into()));
    }
    let means = passage.meaning.of(parts.status, &parts.headers);
    let body = match (means, body.size_hint().exact()) {
        (Means::Final { .. }, Some(length)) => {
            receive_sized(body, length, &passage.answers, body_memory, time).await?
        }
        (Means::Final { .. }, None) => {
            let answers = &passage.answers;
            let max_short_bytes = answers.short_ends_in_time.then_some(answers.buffer as u64);
            let progress = AnswerProgress::new(AnswerLength::Unstated { max_short_bytes }, time.clone());
            let buffered_length = (!answers.hold.is_zero()).then_some(answers.buffer);
            match buffered_length.and_then(|n| body_memory.reserve_body(n)) {
                Some(reservation) => {
                    HeldAnswer::new(answers, time, progress, observer).receive(body, reservation).await?
                }
                None => ReceivedBody::Streaming(VecDeque::new(), body, progress),
            }
        }
        _ => {
            let complete = read_complete(body, MAX_ERROR_BODY_BYTES, body_memory);
            time.limit(complete).await??
        }
    };
    Ok(Reply { parts, means, body: body.check()? })
}

/// Receives the body of a final response of this length. Without free body memory a short one streams as long
/// ones do, and ends in time as if it were held.
async fn receive_sized(
    body: Incoming,
    length: u64,
    answers: &Answers,
    body_memory: &BufferMemory,
    time: &ExchangeTime,
) -> Result<ReceivedBody, ExchangeError> {
    let max_length = answers.most;
    if length > max_length {
        return Err(ExchangeError::Malformed(
            format!("body of {length} bytes exceeds the limit of {max_length}").into(),
        ));
    }
    let buffered_length = usize::try_from(length).ok().filter(|n| *n <= answers.buffer);
    if let Some(n) = buffered_length
        && let Some(reservation) = body_memory.reserve_body(n)
    {
        let body = time.limit(collect_body(body, n)).await?.map_err(body_error)?;
        return Ok(ReceivedBody::Complete(reservation.attach_to(body)));
    }
    let stated = if buffered_length.is_some() { AnswerLength::Short } else { AnswerLength::Long };
    Ok(ReceivedBody::Streaming(VecDeque::new(), body, AnswerProgress::new(stated, time.clone())))
}

/// Reads a complete body of at most `max_length` bytes. Without free body memory it is read all the same, and
/// dropped: what the upstream has answered does not depend on this process's memory.
async fn read_complete(
    body: Incoming,
    max_length: usize,
    body_memory: &BufferMemory,
) -> Result<ReceivedBody, ExchangeError> {
    let known_length =
        body.size_hint().exact().map_or(max_length, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if known_length > max_length {
        return Err(ExchangeError::Malformed(
            format!("body of {known_length} bytes exceeds the limit of {max_length}").into(),
        ));
    }
    let mut body = Limited::new(body, max_length);
    let Some(reservation) = body_memory.reserve_body(known_length) else {
        while let Some(frame) = body.frame().await {
            frame.map_err(body_error)?;
        }
        return Ok(ReceivedBody::Dropped);
    };
    let body = collect_body(body, known_length).await.map_err(body_error)?;
    Ok(ReceivedBody::Complete(reservation.shrink_to(body.len()).attach_to(body)))
}

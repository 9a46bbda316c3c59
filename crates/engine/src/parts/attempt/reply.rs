//! Response to one attempt: its head, and a body that is buffered or streamed.

use crate::parts::answer::is_malformed_body;
use crate::parts::body::{BodyBuffer, Failure, collect_body};
use crate::parts::buffer_memory::{BufferMemory, MemoryReservation};
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
use tokio::time::{Instant, timeout_at};

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
    /// The frames received so far, and the rest of the body.
    Streaming(VecDeque<Frame<Bytes>>, Incoming),
}

/// Reason why an exchange produced no response.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// The connection was closed.
    Closed(Failure),
    /// The response is malformed, though the connection works. The request may have run; the upstream is
    /// treated as one that responds with an error.
    Malformed(Failure),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(e) => write!(f, "connection closed: {e}"),
            Self::Malformed(e) => write!(f, "malformed response: {e}"),
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
fn body_error(e: Failure) -> ExchangeError {
    if is_malformed_body(&e) { ExchangeError::Malformed(e) } else { ExchangeError::Closed(e) }
}

/// Sends one request and reads the response: completely, or up to the point where it streams.
pub(super) async fn exchange(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    passage: &Passage,
    body_memory: &BufferMemory,
) -> Result<Reply, ExchangeError> {
    let (parts, body) = response.await?.into_parts();
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(ExchangeError::Malformed("both Content-Length and Transfer-Encoding".into()));
    }
    if parts.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(ExchangeError::Malformed("unrequested protocol upgrade (status 101)".into()));
    }
    let means = passage.meaning.of(parts.status, &parts.headers);
    let Answers { buffer, hold, most: max_length, .. } = passage.answers;
    let body = match means {
        Means::Final { .. } => {
            let known_length = body.size_hint().exact();
            if let Some(n) = known_length.filter(|n| *n > max_length) {
                return Err(ExchangeError::Malformed(
                    format!("body of {n} bytes exceeds the limit of {max_length}").into(),
                ));
            }
            let buffered_length = match known_length {
                Some(n) => (n <= buffer as u64).then_some(n as usize),
                None => (!hold.is_zero()).then_some(buffer),
            };
            match buffered_length.and_then(|n| body_memory.reserve_body(n)) {
                Some(reservation) if known_length.is_some() => {
                    let length = buffered_length.unwrap_or_default();
                    let body = collect_body(body, length).await.map_err(body_error)?;
                    ReceivedBody::Complete(reservation.attach_to(body))
                }
                Some(reservation) => buffer_unsized(body, buffer, Instant::now() + hold, reservation).await?,
                // Without free body memory the response streams, and its reader sets the pace.
                None => ReceivedBody::Streaming(VecDeque::new(), body),
            }
        }
        _ => ReceivedBody::Complete(read_complete(body, MAX_ERROR_BODY_BYTES, body_memory).await?),
    };
    Ok(Reply { parts, means, body })
}

/// Reads a body of unknown length. Returns it complete if it ends within `buffer` bytes and before `until`;
/// otherwise the rest streams.
async fn buffer_unsized(
    mut body: Incoming,
    buffer: usize,
    until: Instant,
    reservation: MemoryReservation,
) -> Result<ReceivedBody, ExchangeError> {
    let mut received = BodyBuffer::with_capacity(buffer);
    let mut trailers = None;
    while received.len() <= buffer && trailers.is_none() {
        let Ok(frame) = timeout_at(until, body.frame()).await else { break };
        match frame.transpose().map_err(|e| body_error(e.into()))?.map(Frame::into_data) {
            Some(Ok(data)) => received.push(data),
            // Trailers can only be forwarded after the data in a stream.
            Some(Err(frame)) => trailers = Some(frame),
            None => {
                return Ok(ReceivedBody::Complete(
                    reservation.shrink_to(received.len()).attach_to(received.into_bytes()),
                ));
            }
        }
    }
    // What was received stays in memory until it is forwarded.
    let data = reservation.shrink_to(received.len()).attach_to(received.into_bytes());
    let data = (!data.is_empty()).then(|| Frame::data(data));
    Ok(ReceivedBody::Streaming(data.into_iter().chain(trailers).collect(), body))
}

/// Reads a complete body of at most `max_length` bytes. Fails if the body memory is exhausted.
async fn read_complete(
    body: Incoming,
    max_length: usize,
    body_memory: &BufferMemory,
) -> Result<Bytes, ExchangeError> {
    let known_length =
        body.size_hint().exact().map_or(max_length, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if known_length > max_length {
        return Err(ExchangeError::Malformed(
            format!("body of {known_length} bytes exceeds the limit of {max_length}").into(),
        ));
    }
    let reservation = body_memory
        .reserve_body(known_length)
        .ok_or_else(|| ExchangeError::Malformed("no body memory left for the response".into()))?;
    let body = collect_body(Limited::new(body, max_length), known_length).await.map_err(body_error)?;
    Ok(reservation.shrink_to(body.len()).attach_to(body))
}

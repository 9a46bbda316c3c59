//! Responses of upstreams: buffered in memory, or streamed from the first byte.

mod answer_progress;
mod stream_time;

pub use answer_progress::{AnswerLength, AnswerProgress};
pub use stream_time::{StreamOrigin, StreamTime};

use crate::metrics::{PendingRequest, ReasonCounters};
use crate::parts::body::Failure;
use crate::parts::connection::Connection;
use crate::parts::time_limit::TimeLimit;
use bytes::Bytes;
use http_body_util::LengthLimitError;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, StatusCode};
use maplehook_core::Outcome;
use maplehook_core::request_lifecycle::{BrokenAnswer, RequestLifecycle};
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

/// Most frames that are read of a body before it is passed on: the HTTP connection holds one, and an error behind it.
const MAX_FRAMES_READ_AHEAD: usize = 2;

/// Memory of a header field beside its name and value, in bytes.
const HEADER_OVERHEAD_BYTES: usize = 160;

/// Response of an upstream, as it is passed to the client.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// HTTP status of the upstream.
    pub status: StatusCode,
    /// End-to-end headers; hop-by-hop headers are already removed.
    pub headers: HeaderMap,
    /// Buffered or streaming body.
    pub body: ResponseBody,
}

impl UpstreamResponse {
    /// Returns a copy if the body is buffered; a streaming body cannot be copied.
    pub fn buffered_copy(&self) -> Option<Self> {
        let ResponseBody::Buffered(body) = &self.body else { return None };
        let body = ResponseBody::Buffered(body.clone());
        Some(Self { status: self.status, headers: self.headers.clone(), body })
    }

    /// Like [`Self::buffered_copy`], but in memory of its own: body and header values are usually parts of
    /// larger buffers, which a copy that is kept would hold.
    pub fn detached_copy(&self) -> Option<Self> {
        let ResponseBody::Buffered(body) = &self.body else { return None };
        let body = ResponseBody::Buffered(Bytes::copy_from_slice(body));
        let detached = |value: &HeaderValue| HeaderValue::from_bytes(value.as_bytes());
        let headers =
            self.headers.iter().filter_map(|(name, value)| Some((name.clone(), detached(value).ok()?)));
        Some(Self { status: self.status, headers: headers.collect(), body })
    }

    /// Returns the approximate memory of the response in bytes, or `None` if the body streams.
    pub fn buffered_size(&self) -> Option<usize> {
        let ResponseBody::Buffered(body) = &self.body else { return None };
        let headers: usize =
            self.headers.iter().map(|(n, v)| n.as_str().len() + v.len() + HEADER_OVERHEAD_BYTES).sum();
        Some(headers + body.len())
    }
}

/// Body of an upstream's response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body in memory.
    Buffered(Bytes),
    /// A body that is forwarded while it is received.
    Stream(Box<Stream>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        match &mut *self {
            Self::Buffered(body) if body.is_empty() => Poll::Ready(None),
            Self::Buffered(body) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(body))))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_empty(),
            Self::Stream(stream) => stream.connection.is_none() && stream.prefetched.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(stream) => stream.size_hint(),
        }
    }
}

/// Returns a connection to the pool after its response was read to the end.
pub type ReturnConnection = Box<dyn FnOnce(Connection)>;
/// Receives the outcome of a streamed response.
pub type OnStreamEnd = Box<dyn FnOnce(Outcome)>;

/// Streamed response. The reader sets the pace: unread bytes stay at the upstream. Dropping the stream before
/// its end closes the connection.
pub struct Stream {
    /// Frames that were read while the response could still be buffered.
    prefetched: VecDeque<Frame<Bytes>>,
    incoming: Incoming,
    connection: Option<Connection>,
    return_connection: Option<ReturnConnection>,
    on_end: Option<OnStreamEnd>,
    accounting: Option<PendingRequest>,
    time: StreamTime,
    /// Life cycle of the request that this stream answers.
    lifecycle: Rc<RequestLifecycle>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream").field("incoming", &self.incoming).finish_non_exhaustive()
    }
}

impl Stream {
    /// Creates a stream that first yields the frames in `prefetched`, then the rest of `incoming`. After a
    /// complete response the connection goes to `return_connection`. The stream fails once its time is over.
    pub fn new(
        prefetched: VecDeque<Frame<Bytes>>,
        incoming: Incoming,
        connection: Connection,
        return_connection: ReturnConnection,
        time: StreamTime,
    ) -> Box<Self> {
        let (connection, return_connection) = (Some(connection), Some(return_connection));
        Box::new(Self {
            prefetched,
            incoming,
            connection,
            return_connection,
            on_end: None,
            accounting: None,
            time,
            lifecycle: Rc::default(),
        })
    }

    /// Sets the life cycle of the request that this stream answers.
    pub fn set_lifecycle(&mut self, lifecycle: Rc<RequestLifecycle>) {
        self.lifecycle = lifecycle;
    }

    /// Returns the life cycle of the request that this stream answers.
    pub fn lifecycle(&self) -> &Rc<RequestLifecycle> {
        &self.lifecycle
    }

    /// Reads what has come of the body without waiting. Returns true if the body has failed.
    pub fn has_failed(&mut self) -> bool {
        let read = read_available(&mut self.incoming, &mut self.prefetched);
        match read {
            Ok(bytes) => {
                if bytes > 0 {
                    self.time.on_data(bytes);
                }
                false
            }
            Err(e) => {
                self.end(outcome_of(&e));
                true
            }
        }
    }

    /// Returns the length of what is still to come. Frames that were already read are not part of hyper's hint.
    fn size_hint(&self) -> SizeHint {
        let prefetched: usize = self.prefetched.iter().filter_map(Frame::data_ref).map(Bytes::len).sum();
        let remaining = self.incoming.size_hint().exact();
        remaining.map_or_else(SizeHint::new, |remaining| SizeHint::with_exact(remaining + prefetched as u64))
    }

    /// Sets a callback that is called once, when the stream ends.
    pub fn on_end(&mut self, notify: OnStreamEnd) {
        self.on_end = Some(notify);
    }

    /// Attaches the accounting of the request that this stream answers.
    pub fn track_outcome(&mut self, accounting: PendingRequest) {
        self.accounting = Some(accounting);
    }

    fn end(&mut self, outcome: Outcome) {
        if let (Outcome::Ok, Some(connection), Some(return_connection)) =
            (outcome, self.connection.take(), self.return_connection.take())
        {
            return_connection(connection);
        }
        if let Some(accounting) = self.accounting.take() {
            accounting.record_stream_end(outcome);
        }
        if let Some(notify) = self.on_end.take() {
            notify(outcome);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if let Some(frame) = self.prefetched.pop_front() {
            if frame.is_trailers() || (self.prefetched.is_empty() && self.incoming.is_end_stream()) {
                self.end(Outcome::Ok);
            }
            return Poll::Ready(Some(Ok(frame)));
        }
        if self.connection.is_none() {
            return Poll::Ready(None);
        }
        let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
            let limit = ready!(self.time.poll_exceeded(cx));
            return self.time_out(limit);
        };
        if let Some(Ok(frame)) = &frame {
            self.time.on_data(frame.data_ref().map_or(0, Bytes::len));
        }
        match frame {
            Some(Ok(frame)) => {
                // The body is not polled again after its last frame.
                if self.incoming.is_end_stream() || frame.is_trailers() {
                    self.end(Outcome::Ok);
                } else if let Some(limit) = self.time.exceeded_total() {
                    return self.time_out(limit);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                let e: Failure = e.into();
                self.end(outcome_of(&e));
                Poll::Ready(Some(Err(e)))
            }
            None => {
                self.end(Outcome::Ok);
                Poll::Ready(None)
            }
        }
    }

    fn time_out(&mut self, limit: TimeLimit) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.time.record(limit);
        self.end(Outcome::TimedOut);
        Poll::Ready(Some(Err(format!("the response exceeded a time limit: {}", limit.name()).into())))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        // The reader dropped the stream.
        self.connection = None;
        self.end(Outcome::Cancelled);
    }
}

/// Counts answers whose bodies failed, by what became of them.
pub fn record_broken_answer(counters: &ReasonCounters, broken: BrokenAnswer) {
    counters.increment(broken.name());
    tracing::debug!(became = broken.name(), "the body of an answer failed");
}

/// Reads frames that have come, without waiting, and returns the number of their bytes.
pub(crate) fn read_available(
    incoming: &mut Incoming,
    received: &mut VecDeque<Frame<Bytes>>,
) -> Result<usize, Failure> {
    // Whoever reads on polls again with a waker.
    let mut context = Context::from_waker(Waker::noop());
    let mut bytes = 0;
    for _ in 0..MAX_FRAMES_READ_AHEAD {
        if incoming.is_end_stream() {
            break;
        }
        let Poll::Ready(Some(frame)) = Pin::new(&mut *incoming).poll_frame(&mut context) else { break };
        let frame = frame?;
        bytes += frame.data_ref().map_or(0, Bytes::len);
        received.push_back(frame);
    }
    Ok(bytes)
}

/// Returns the outcome of an attempt whose response body has failed.
fn outcome_of(e: &Failure) -> Outcome {
    if is_malformed_body(e) { Outcome::Error } else { Outcome::Reset }
}

/// Returns true if the body's framing or length is invalid, which hyper reports as invalid data. Any other
/// error means that the connection broke.
pub fn is_malformed_body(e: &Failure) -> bool {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>()).map(io::Error::kind);
    matches!(io, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) || e.is::<LengthLimitError>()
}

//! Requests that a host program passes to an engine, and the answers it receives.

use crate::parts::body::Failure;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{HeaderMap, Method, StatusCode, Uri};
use maplehook_core::{ClassId, TenantId, UpstreamId};
use maplehook_http_semantics::Peer;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// A request for the engine to balance.
#[derive(Debug)]
pub struct Call {
    /// Class, as an index into [`Settings::classes`](maplehook_core::Settings::classes).
    pub class: ClassId,
    /// Tenant, as an index into [`Settings::tenants`](maplehook_core::Settings::tenants).
    pub tenant: TenantId,
    /// Time that the caller waits for the answer, from now on; capped by the deadline of the class.
    pub wait: Duration,
    /// Request id that identifies repeated calls. If set, a request that must not run twice goes through the
    /// ledger: it is sent once, and callers that repeat it get the same final answer. A call of the same tenant
    /// with the same id and another method, target or body is rejected; so is one whose body streams.
    pub id: Option<Box<[u8]>>,
    /// HTTP method.
    pub method: Method,
    /// Request target. Only its path and query are forwarded.
    pub target: Uri,
    /// Headers, including `Host`. Hop-by-hop headers are removed before forwarding.
    pub headers: HeaderMap,
    /// Request body, buffered or streamed.
    pub body: CallBody,
    /// Client that sent the request; set it to forward the client's address to upstreams.
    pub peer: Option<Peer>,
}

/// Request body of a call.
pub enum CallBody {
    /// Complete body in memory.
    Buffered(Bytes),
    /// Body that the engine's thread reads on demand. A body longer than the class's buffer is sent only
    /// once.
    Stream(Pin<Box<dyn Body<Data = Bytes, Error = Failure> + Send>>),
}

impl CallBody {
    /// Creates a body that the engine reads on demand.
    pub fn stream<B>(body: B) -> Self
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Failure>,
    {
        Self::Stream(Box::pin(body.map_err(Into::into)))
    }
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Buffered(body) => write!(f, "{} bytes", body.len()),
            Self::Stream(body) => write!(f, "a stream of {:?}", body.size_hint()),
        }
    }
}

impl From<Bytes> for CallBody {
    fn from(body: Bytes) -> Self {
        Self::Buffered(body)
    }
}

impl From<&'static str> for CallBody {
    fn from(body: &'static str) -> Self {
        Self::Buffered(body.into())
    }
}

/// Final answer to a call. Each call gets exactly one.
#[derive(Debug)]
pub enum Outcome {
    /// An upstream answered, with any status.
    Served(Reply),
    /// The call never ran. It is safe to repeat it.
    Rejected(Rejection),
    /// The call may have run, but there is no answer.
    Failed,
}

/// Rejection of a call that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Cause of the rejection.
    pub reason: RejectionReason,
    /// Time to wait before the caller repeats the call, if known.
    pub retry_after: Option<Duration>,
}

/// Reason why the engine did not run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The balancer has no capacity for the call, no upstream accepted it, or the ledger is full.
    NoCapacity,
    /// The engine's command queue is full.
    QueueFull,
    /// The engine is shutting down or has stopped.
    ShuttingDown,
    /// The request body exceeds the limit of the class.
    BodyTooLong,
    /// The request body ended early or was not received in time.
    BodyIncomplete,
    /// The class does not exist, or a header cannot be forwarded.
    InvalidCall,
    /// The id or key is that of another call, which is in flight.
    IdentityInUse,
    /// The id or key is that of another call, which was answered.
    IdentityReused,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.reason {
            RejectionReason::NoCapacity => "refused: no capacity",
            RejectionReason::QueueFull => "refused: too many calls are queued",
            RejectionReason::ShuttingDown => "refused: the engine is shutting down",
            RejectionReason::BodyTooLong => "refused: the body is too long",
            RejectionReason::BodyIncomplete => "refused: the body is incomplete",
            RejectionReason::InvalidCall => "refused: unknown class or invalid headers",
            RejectionReason::IdentityInUse => "refused: another call with this id or key is open",
            RejectionReason::IdentityReused => "refused: the id or key was used for another call",
        })
    }
}

impl std::error::Error for Rejection {}

impl From<RejectionReason> for Rejection {
    fn from(reason: RejectionReason) -> Self {
        Self { reason, retry_after: None }
    }
}

/// Response of an upstream.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// Response body, buffered or streamed.
    pub body: ReplyBody,
    /// Number of attempts made for the call.
    pub attempts: u8,
    /// Upstream that sent the response, if known.
    pub upstream: Option<UpstreamId>,
}

/// Response body of a call.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete body in memory.
    Buffered(Bytes),
    /// Body that is forwarded as it is received, with backpressure. Dropping it closes the upstream
    /// connection.
    Stream(BodyStream),
}

/// Response body that the engine's thread streams to the caller.
#[derive(Debug)]
pub struct BodyStream {
    frames: mpsc::Receiver<StreamItem>,
    size_hint: SizeHint,
    has_ended: bool,
    /// True once a reader has had to wait. An HTTP server sends the head of the response then, and drops it
    /// with a body that fails before.
    has_waited: bool,
    /// Failure of the body that its reader has not been told yet.
    failure: Option<Failure>,
}

impl BodyStream {
    pub(crate) fn new(frames: mpsc::Receiver<StreamItem>, size_hint: SizeHint) -> Self {
        Self { frames, size_hint, has_ended: false, has_waited: false, failure: None }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<StreamItem> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let item = match self.failure.take() {
            Some(failure) => Some(Err(failure)),
            None => ready!(self.poll_item(cx)),
        };
        self.has_ended = !matches!(item, Some(Ok(_)));
        Poll::Ready(item)
    }

    fn poll_item(&mut self, cx: &mut Context<'_>) -> Poll<StreamItem> {
        let Poll::Ready(item) = self.frames.poll_recv(cx) else {
            self.has_waited = true;
            return Poll::Pending;
        };
        match item.unwrap_or_else(|| Some(Err("the engine stopped before the end of the body".into()))) {
            Some(Err(failure)) if !self.has_waited => {
                self.has_waited = true;
                self.failure = Some(failure);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            item => Poll::Ready(item),
        }
    }
}

/// Result of one poll of a body: a frame, an error, or `None` at the end. A channel that closes without a
/// `None` means that the engine stopped in the middle of the body.
pub(crate) type StreamItem = Option<Result<Frame<Bytes>, Failure>>;

impl ReplyBody {
    /// Reads the complete body.
    pub async fn into_bytes(self) -> Result<Bytes, Failure> {
        Ok(BodyExt::collect(self).await?.to_bytes())
    }
}

impl Body for ReplyBody {
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
            Self::Stream(stream) => stream.has_ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(stream) => stream.size_hint,
        }
    }
}

#[cfg(test)]
mod tests;

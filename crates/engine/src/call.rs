//! What a host hands to an engine, and what it gets.

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

/// A request to be balanced.
#[derive(Debug)]
pub struct Call {
    /// Its class: a position in [`Settings::classes`](maplehook_core::Settings::classes).
    pub class: ClassId,
    /// Its tenant: a position in [`Settings::tenants`](maplehook_core::Settings::tenants).
    pub tenant: TenantId,
    /// How long the caller waits, from now. The class's deadline is the most.
    pub wait: Duration,
    /// By what it is known again. With one, a request that may not run twice goes through the ledger: it is sent
    /// once, and whoever repeats it gets the same final answer.
    pub id: Option<Box<[u8]>>,
    /// Its method.
    pub method: Method,
    /// Its target; what goes on is path and query.
    pub target: Uri,
    /// Its headers; `Host` among them. What speaks of one hop is taken off.
    pub headers: HeaderMap,
    /// Its body.
    pub body: CallBody,
    /// Who asked, if upstreams are to be told.
    pub peer: Option<Peer>,
}

/// The body of a call.
pub enum CallBody {
    /// In hand.
    Buffered(Bytes),
    /// Read as it is needed, on the engine's thread. What is longer than its class's buffer is sent once.
    Stream(Pin<Box<dyn Body<Data = Bytes, Error = Failure> + Send>>),
}

impl CallBody {
    /// One that is read as it is needed.
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

/// The final answer to a call. There is exactly one.
#[derive(Debug)]
pub enum Outcome {
    /// An upstream's answer, whatever its status.
    Served(Reply),
    /// It never ran; trying again is harmless.
    Rejected(Rejection),
    /// It may have run.
    Failed,
}

/// RejectionReason a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// RejectionReason.
    pub reason: RejectionReason,
    /// How long the caller should stay away, if that is known.
    pub retry_after: Option<Duration>,
}

/// RejectionReason a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The balancer has no room for it, no upstream took it, or the ledger is full.
    NoCapacity,
    /// Too many calls wait for the engine.
    QueueFull,
    /// The engine ends, or has ended.
    ShuttingDown,
    /// Its body is longer than its class allows.
    BodyTooLong,
    /// Its body broke off, or did not come in time.
    BodyIncomplete,
    /// There is no such class, or a header that can't be passed on.
    InvalidCall,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.reason {
            RejectionReason::NoCapacity => "refused: no room",
            RejectionReason::QueueFull => "refused: too many calls wait",
            RejectionReason::ShuttingDown => "refused: the engine ends",
            RejectionReason::BodyTooLong => "refused: the body is too long",
            RejectionReason::BodyIncomplete => "refused: the body did not come whole",
            RejectionReason::InvalidCall => "refused: no such class, or an unfit head",
        })
    }
}

impl std::error::Error for Rejection {}

impl From<RejectionReason> for Rejection {
    fn from(reason: RejectionReason) -> Self {
        Self { reason, retry_after: None }
    }
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ReplyBody,
    /// Attempts that it took.
    pub attempts: u8,
    /// Who served it.
    pub upstream: Option<UpstreamId>,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// In hand.
    Buffered(Bytes),
    /// As it comes. Its reader sets the pace; when it is dropped, the upstream's connection closes.
    Stream(StreamedBody),
}

/// A body that comes from the engine's thread.
#[derive(Debug)]
pub struct StreamedBody {
    pub(crate) frames: mpsc::Receiver<StreamItem>,
    pub(crate) hint: SizeHint,
    pub(crate) ended: bool,
}

/// A piece of a body; `None` is its end. Without one it has broken off.
pub(crate) type StreamItem = Option<Result<Frame<Bytes>, Failure>>;

impl ReplyBody {
    /// All of it.
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
            Self::Stream(streaming) if streaming.ended => Poll::Ready(None),
            Self::Stream(streaming) => {
                let piece = ready!(streaming.frames.poll_recv(cx));
                streaming.ended = !matches!(piece, Some(Some(Ok(_))));
                Poll::Ready(piece.unwrap_or_else(|| Some(Err("the engine has ended".into()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_empty(),
            Self::Stream(streaming) => streaming.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(streaming) => streaming.hint,
        }
    }
}

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
    Whole(Bytes),
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
            Self::Whole(body) => write!(f, "{} bytes", body.len()),
            Self::Stream(body) => write!(f, "a stream of {:?}", body.size_hint()),
        }
    }
}

impl From<Bytes> for CallBody {
    fn from(body: Bytes) -> Self {
        Self::Whole(body)
    }
}

impl From<&'static str> for CallBody {
    fn from(body: &'static str) -> Self {
        Self::Whole(body.into())
    }
}

/// The final answer to a call. There is exactly one.
#[derive(Debug)]
pub enum Outcome {
    /// An upstream's answer, whatever its status.
    Served(Reply),
    /// It never ran; trying again is harmless.
    Refused(Refusal),
    /// It may have run.
    Failed,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub why: Why,
    /// How long the caller should stay away, if that is known.
    pub retry_after: Option<Duration>,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The balancer has no room for it, no upstream took it, or the ledger is full.
    NoRoom,
    /// Too many calls wait for the engine.
    Busy,
    /// The engine ends, or has ended.
    Ending,
    /// Its body is longer than its class allows.
    TooLong,
    /// Its body broke off, or did not come in time.
    BrokeOff,
    /// There is no such class, or a header that can't be passed on.
    Unfit,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.why {
            Why::NoRoom => "refused: no room",
            Why::Busy => "refused: too many calls wait",
            Why::Ending => "refused: the engine ends",
            Why::TooLong => "refused: the body is too long",
            Why::BrokeOff => "refused: the body did not come whole",
            Why::Unfit => "refused: no such class, or an unfit head",
        })
    }
}

impl std::error::Error for Refusal {}

impl From<Why> for Refusal {
    fn from(why: Why) -> Self {
        Self { why, retry_after: None }
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
    Whole(Bytes),
    /// As it comes. Its reader sets the pace; when it is dropped, the upstream's connection closes.
    Stream(Streaming),
}

/// A body that comes from the engine's thread.
#[derive(Debug)]
pub struct Streaming {
    pub(crate) frames: mpsc::Receiver<Piece>,
    pub(crate) hint: SizeHint,
    pub(crate) ended: bool,
}

/// A piece of a body; `None` is its end. Without one it has broken off.
pub(crate) type Piece = Option<Result<Frame<Bytes>, Failure>>;

impl ReplyBody {
    /// All of it.
    pub async fn whole(self) -> Result<Bytes, Failure> {
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
            Self::Whole(body) if body.is_empty() => Poll::Ready(None),
            Self::Whole(body) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(body))))),
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
            Self::Whole(body) => body.is_empty(),
            Self::Stream(streaming) => streaming.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(streaming) => streaming.hint,
        }
    }
}

//! Request bodies: buffered in memory, or streamed.
//!
//! A buffered body can be sent again. A streaming body can be sent once: until the first byte of an attempt
//! is written, another attempt can still use it; after that it is spent.

mod collect;
mod upload;

pub use collect::{BodyBuffer, collect_body, receive_body};
pub use upload::{SenderProgress, SenderTimes, Upload, UploadBody, UploadTime, UploadTimeouts, WriteCounter};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Limits for discarding the rest of a body: time without data, and bytes.
const DISCARD_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Error of a request or response body.
pub type Failure = Box<dyn Error + Send + Sync>;
/// Unread rest of a streaming body.
pub type BodySource = Pin<Box<dyn Body<Data = Bytes, Error = Failure>>>;

/// Body of a client's request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// The complete body in memory.
    Buffered(Bytes),
    /// A body that is forwarded while it is received.
    Upload(Rc<Upload>),
}

impl Payload {
    /// Returns true if no further attempt can send the body.
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Upload(upload) if upload.is_spent())
    }

    /// Returns the upload if the body streams.
    pub fn upload(&self) -> Option<Rc<Upload>> {
        match self {
            Self::Buffered(_) => None,
            Self::Upload(upload) => Some(Rc::clone(upload)),
        }
    }

    /// Returns true for a buffered body of zero bytes.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(body) if body.is_empty())
    }
}

/// Reason why a streaming body did not complete; in every case the sender is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The body exceeds the limit of its class.
    TooLong,
    /// The connection ended inside the body, or the framing is invalid.
    BrokeOff,
    /// The sender sent nothing for too long.
    Slow,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is too long",
            Self::BrokeOff => "the body broke off",
            Self::Slow => "the body did not come in time",
        })
    }
}

impl Error for Fault {}

/// Request body of one attempt, in the form that hyper sends.
pub enum OutboundBody {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is read from the client while it is sent.
    Upload(UploadBody),
}

impl OutboundBody {
    /// Creates the body of one attempt; `written` counts the bytes that its connection wrote.
    pub fn new(payload: &Payload, written: &Rc<WriteCounter>) -> Self {
        match payload {
            Payload::Buffered(body) => Self::Buffered(Full::new(body.clone())),
            Payload::Upload(upload) => Self::Upload(upload.send(Rc::clone(written))),
        }
    }
}

impl Default for OutboundBody {
    fn default() -> Self {
        Self::Buffered(Full::default())
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        match &mut *self {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|infallible| match infallible {}),
            Self::Upload(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Upload(body) => body.length().map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// Reads and drops an unwanted body, within limits, so that its sender can read the response.
pub async fn discard_body<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read = 0;
    while let Ok(Some(Ok(frame))) = timeout(DISCARD_IDLE_TIMEOUT, body.frame()).await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > MAX_DISCARDED_BYTES {
            break;
        }
    }
}

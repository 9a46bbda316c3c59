//! Bodies of requests: held whole, or passed on as they come.
//!
//! What is held may be sent again. A body that streams can be sent once: until the first byte of an attempt has
//! left, another may still have it; from then on it is spent.

mod gather;
mod upload;

pub use gather::{Gathered, gather, receive_body};
pub use upload::{Sending, Upload, UploadTimeouts, Written};

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

/// How long nothing may come, and how much is read, of a body that nobody wants any more.
const READ_AWAY: Duration = Duration::from_secs(1);
const READ_AWAY_MOST: usize = 64 * 1024 * 1024;

/// What goes wrong with a body.
pub type Failure = Box<dyn Error + Send + Sync>;
/// Where the rest of a body comes from.
pub type Source = Pin<Box<dyn Body<Data = Bytes, Error = Failure>>>;

/// The body of a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// Held whole.
    Buffered(Bytes),
    /// Passed on as it comes.
    Upload(Rc<Upload>),
}

impl Payload {
    /// Whether no attempt can have it any more.
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Upload(upload) if upload.is_spent())
    }

    /// The body, where it streams.
    pub fn upload(&self) -> Option<Rc<Upload>> {
        match self {
            Self::Buffered(_) => None,
            Self::Upload(upload) => Some(Rc::clone(upload)),
        }
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(body) if body.is_empty())
    }
}

/// Why a body that streams came to no end; the fault is its sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is longer than its class allows.
    TooLong,
    /// It broke off, or its framing can't be read.
    BrokeOff,
    /// Nothing came of it for too long.
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

/// The body of one attempt.
pub enum Outbound {
    /// Held whole.
    Buffered(Full<Bytes>),
    /// Passed on as it comes.
    Upload(Sending),
}

impl Outbound {
    /// What a payload is on a connection.
    pub fn of(payload: &Payload, written: &Rc<Written>) -> Self {
        match payload {
            Payload::Buffered(body) => Self::Buffered(Full::new(body.clone())),
            Payload::Upload(upload) => Self::Upload(upload.send(Rc::clone(written))),
        }
    }
}

impl Default for Outbound {
    fn default() -> Self {
        Self::Buffered(Full::default())
    }
}

impl Body for Outbound {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        match &mut *self {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Upload(sending) => sending.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Upload(sending) => sending.length().map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// Reads away a body that nobody wants, within bounds, so that its sender can read the answer.
pub async fn discard_body<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read = 0;
    while let Ok(Some(Ok(frame))) = timeout(READ_AWAY, body.frame()).await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > READ_AWAY_MOST {
            break;
        }
    }
}

//! Answers: held whole, or passed on from the first byte.

use crate::parts::body::Failure;
use crate::parts::connection::Connection;
use crate::tally::Owed;
use bytes::Bytes;
use http_body_util::LengthLimitError;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, StatusCode};
use maplehook_core::Outcome;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// An upstream's answer.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

impl UpstreamResponse {
    /// The same again, where it is held whole.
    pub fn copy(&self) -> Option<Self> {
        let ResponseBody::Buffered(body) = &self.body else { return None };
        let body = ResponseBody::Buffered(body.clone());
        Some(Self { status: self.status, headers: self.headers.clone(), body })
    }

    /// About how many bytes it takes to keep it; `None` where it is not held.
    pub fn length(&self) -> Option<usize> {
        let ResponseBody::Buffered(body) = &self.body else { return None };
        let headers: usize = self.headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 32).sum();
        Some(headers + body.len())
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// Held whole.
    Buffered(Bytes),
    /// Passed on as it comes.
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
            Self::Stream(stream) => stream.connection.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            // Of what has been read already nothing was said.
            Self::Stream(stream) if stream.read.is_empty() => stream.incoming.size_hint(),
            Self::Stream(_) => SizeHint::new(),
        }
    }
}

/// What is done with a connection whose answer has come whole.
pub type PutBack = Box<dyn FnOnce(Connection)>;
/// Who is told how an answer ended.
pub type OnEnd = Box<dyn FnOnce(Outcome)>;

/// An answer that is passed on as it comes. Its reader sets the pace: what is not read stays with the upstream. When
/// it is dropped before its end, its connection closes.
pub struct Stream {
    /// What was read of it in case that it was short.
    read: VecDeque<Frame<Bytes>>,
    incoming: Incoming,
    connection: Option<Connection>,
    put_back: Option<PutBack>,
    on_end: Option<OnEnd>,
    owed: Option<Owed>,
    idle: Duration,
    /// Runs while the upstream is silent.
    silence: Option<Pin<Box<Sleep>>>,
    until: Instant,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream").field("incoming", &self.incoming).finish_non_exhaustive()
    }
}

impl Stream {
    /// An answer on this connection, of which `read` has been read already, and which is given to `put_back` if it comes
    /// whole. `idle` is the longest silence, and all of it comes by `until`.
    pub fn new(
        read: VecDeque<Frame<Bytes>>,
        incoming: Incoming,
        connection: Connection,
        put_back: PutBack,
        idle: Duration,
        until: Instant,
    ) -> Box<Self> {
        let (connection, put_back) = (Some(connection), Some(put_back));
        Box::new(Self {
            read,
            incoming,
            connection,
            put_back,
            on_end: None,
            owed: None,
            idle,
            silence: None,
            until,
        })
    }

    /// Tells how it ends; once.
    pub fn on_end(&mut self, tell: OnEnd) {
        self.on_end = Some(tell);
    }

    /// It is the answer to this request.
    pub fn track_outcome(&mut self, owed: Owed) {
        self.owed = Some(owed);
    }

    fn end(&mut self, outcome: Outcome) {
        if let (Outcome::Ok, Some(connection), Some(put_back)) =
            (outcome, self.connection.take(), self.put_back.take())
        {
            put_back(connection);
        }
        if let Some(owed) = self.owed.take() {
            owed.streamed(outcome);
        }
        if let Some(tell) = self.on_end.take() {
            tell(outcome);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if self.connection.is_none() {
            return Poll::Ready(None);
        }
        if let Some(frame) = self.read.pop_front() {
            if frame.is_trailers() {
                self.end(Outcome::Ok);
            }
            return Poll::Ready(Some(Ok(frame)));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
            let wait = self.idle.min(self.until.saturating_duration_since(Instant::now()));
            let silence = self.silence.get_or_insert_with(|| Box::pin(sleep(wait)));
            return match silence.as_mut().poll(cx) {
                Poll::Ready(()) => self.give_up("the upstream fell silent in the middle of an answer"),
                Poll::Pending => Poll::Pending,
            };
        };
        self.silence = None;
        match frame {
            Some(Ok(frame)) => {
                // Nobody asks for more once the trailers have come.
                if self.incoming.is_end_stream() || frame.is_trailers() {
                    self.end(Outcome::Ok);
                } else if self.until <= Instant::now() {
                    return self.give_up("an answer took too long in all");
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                let e: Failure = e.into();
                self.end(if is_unreadable(&e) { Outcome::Error } else { Outcome::Reset });
                Poll::Ready(Some(Err(e)))
            }
            None => {
                self.end(Outcome::Ok);
                Poll::Ready(None)
            }
        }
    }

    fn give_up(&mut self, why: &'static str) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.end(Outcome::TimedOut);
        Poll::Ready(Some(Err(why.into())))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        // Its reader has gone.
        self.connection = None;
        self.end(Outcome::Cancelled);
    }
}

/// Whether a body's framing can't be read, for which hyper gives the reason as invalid data; else it broke off.
pub fn is_unreadable(e: &Failure) -> bool {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>()).map(io::Error::kind);
    matches!(io, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) || e.is::<LengthLimitError>()
}

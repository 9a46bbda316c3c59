//! Bodies of requests: held whole, or passed on as they come.
//!
//! What is held may be sent again. A body that streams can be sent once: until the first byte of an attempt has
//! left, another may still have it; from then on it is spent.

use crate::parts::room::Room;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use maplehook_routes::Passage;
use prometheus_client::metrics::counter::Counter;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

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
    Whole(Bytes),
    /// Passed on as it comes.
    Upload(Rc<Upload>),
}

impl Payload {
    /// Whether no attempt can have it any more.
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Upload(upload) if upload.rest.borrow().is_none())
    }

    /// The body, where it streams.
    pub fn upload(&self) -> Option<Rc<Upload>> {
        match self {
            Self::Whole(_) => None,
            Self::Upload(upload) => Some(Rc::clone(upload)),
        }
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Whole(body) if body.is_empty())
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

/// Bytes that a connection's kernel has taken, and who waits for the first of them.
#[derive(Default)]
pub struct Written {
    count: Cell<u64>,
    waits: Cell<Option<Waker>>,
    /// Up to where a request that states its length goes, and what counts it once it has left whole.
    end: Cell<u64>,
    sends: Cell<Option<Counter>>,
}

impl Written {
    /// So many more have been taken.
    pub fn add(&self, n: usize) {
        self.count.set(self.count.get() + n as u64);
        if let Some(waker) = self.waits.take() {
            waker.wake();
        }
        if self.count.get() >= self.end.get() {
            self.left_whole();
        }
    }

    /// A request begins that `sends` counts once `length` bytes of it are taken; `None`: once its body has ended.
    pub fn begin(&self, length: Option<u64>, sends: Option<Counter>) {
        self.end.set(length.map_or(u64::MAX, |n| self.count.get() + n));
        self.sends.set(sends);
    }

    fn left_whole(&self) {
        if let Some(sends) = self.sends.take() {
            sends.inc();
        }
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.count.get()
    }
}

/// How long a body may take.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// The longest silence.
    pub idle: Duration,
    /// The longest time in all.
    pub total: Duration,
    /// The longest wait for the answer's head after the last byte.
    pub answer: Duration,
}

/// A body that streams: what was read of it already, and the rest.
pub struct Upload {
    prefix: Bytes,
    rest: RefCell<Option<Source>>,
    /// Its length, where it was stated.
    length: Option<u64>,
    most: u64,
    patience: Patience,
    since: Instant,
    /// When the last of it went on.
    moved: Cell<Instant>,
    /// Whether its sender keeps it waiting.
    starved: Cell<bool>,
    whole: Cell<bool>,
    fault: Cell<Option<Fault>>,
    begun: Notify,
    /// What nobody reads any more, of an attempt that has ended before it was whole.
    leftover: RefCell<Option<Source>>,
    left: Notify,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).field("whole", &self.whole).finish()
    }
}

impl Upload {
    /// One of which `prefix` was read already; `most` is the longest that it may be.
    pub fn new(prefix: Bytes, rest: Source, length: Option<u64>, most: u64, patience: Patience) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            prefix,
            rest: RefCell::new(Some(rest)),
            length,
            most,
            patience,
            since: now,
            moved: Cell::new(now),
            starved: Cell::new(false),
            whole: Cell::new(false),
            fault: Cell::new(None),
            begun: Notify::new(),
            leftover: RefCell::new(None),
            left: Notify::new(),
        })
    }

    /// Its length, where it was stated.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// How long its sender waits for the answer once it has left whole.
    pub fn answer_most(&self) -> Duration {
        self.patience.answer
    }

    /// Whether it has left whole.
    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    /// What its sender did wrong, if anything.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Waits until it is spent: from then on it is no attempt like others.
    pub async fn begun(&self) {
        self.begun.notified().await;
    }

    /// Waits until its time, or that of the answer to it, is over.
    pub async fn is_over(&self) {
        loop {
            let Patience { idle, total, answer } = self.patience;
            let limit = if self.whole.get() { answer } else { idle };
            let due = (self.moved.get() + limit).min(self.since + total);
            if due <= Instant::now() {
                if self.starved.get() && !self.whole.get() {
                    self.fault.set(Some(Fault::Slow));
                }
                return;
            }
            sleep_until(due).await;
        }
    }

    /// Its answer is there though it has not been read whole: the rest is read away, for a while. A connection that is
    /// closed with bytes unread is reset, and a reset takes the answer along that its client has not read yet.
    pub fn answered(self: &Rc<Self>) {
        if self.whole.get() || self.fault.get() == Some(Fault::BrokeOff) {
            return;
        }
        let upload = Rc::clone(self);
        spawn_local(async move {
            let rest = upload.rest.borrow_mut().take();
            let rest = match rest {
                Some(rest) => Some(rest),
                None => {
                    // The attempt that had it ends in a moment.
                    let _ = timeout(READ_AWAY, upload.left.notified()).await;
                    upload.leftover.borrow_mut().take()
                }
            };
            if let Some(rest) = rest {
                read_away(rest).await;
            }
        });
    }

    /// It, for one attempt on a connection that has written as much as `written` says.
    fn send(self: &Rc<Self>, written: Rc<Written>) -> Sending {
        let before = written.count();
        Sending {
            upload: Rc::clone(self),
            prefix: self.prefix.clone(),
            source: None,
            sent: 0,
            written,
            before,
        }
    }
}

/// An upload on its way to one upstream.
pub struct Sending {
    upload: Rc<Upload>,
    prefix: Bytes,
    source: Option<Source>,
    sent: u64,
    written: Rc<Written>,
    before: u64,
}

impl Drop for Sending {
    fn drop(&mut self) {
        if let Some(source) = self.source.take() {
            *self.upload.leftover.borrow_mut() = Some(source);
            self.upload.left.notify_one();
        }
    }
}

impl Sending {
    /// So many bytes more are on their way. Of a body that states its length nobody asks for the end once it has come.
    fn goes(&mut self, bytes: usize) {
        self.sent += bytes as u64;
        if self.upload.length == Some(self.sent) {
            self.is_whole();
        }
    }

    fn is_whole(&self) {
        self.upload.whole.set(true);
        self.written.left_whole();
    }

    fn fail(&self, fault: Fault) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.upload.fault.set(Some(fault));
        Poll::Ready(Some(Err(fault.into())))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            self.goes(prefix.len());
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        if self.source.is_none() {
            if self.written.count() == self.before {
                // Where nothing can be written another attempt shall still have it.
                self.written.waits.set(Some(cx.waker().clone()));
                return Poll::Pending;
            }
            self.source = self.upload.rest.borrow_mut().take();
            self.upload.moved.set(Instant::now());
            self.upload.begun.notify_one();
        }
        let Some(source) = &mut self.source else {
            return Poll::Ready(Some(Err("the body is spent".into())));
        };
        self.upload.starved.set(true);
        let frame = ready!(source.as_mut().poll_frame(cx));
        self.upload.starved.set(false);
        self.upload.moved.set(Instant::now());
        match frame {
            Some(Ok(frame)) => {
                self.goes(frame.data_ref().map_or(0, Bytes::len));
                if self.sent > self.upload.most {
                    return self.fail(Fault::TooLong);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.fail(Fault::BrokeOff),
            None => {
                self.is_whole();
                Poll::Ready(None)
            }
        }
    }
}

/// The body of one attempt.
pub enum Outbound {
    /// Held whole.
    Whole(Full<Bytes>),
    /// Passed on as it comes.
    Upload(Sending),
}

impl Outbound {
    /// What a payload is on a connection.
    pub fn of(payload: &Payload, written: &Rc<Written>) -> Self {
        match payload {
            Payload::Whole(body) => Self::Whole(Full::new(body.clone())),
            Payload::Upload(upload) => Self::Upload(upload.send(Rc::clone(written))),
        }
    }
}

impl Default for Outbound {
    fn default() -> Self {
        Self::Whole(Full::default())
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
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Upload(sending) => sending.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Upload(sending) => sending.upload.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// Reads away a body that nobody wants, within bounds, so that its sender can read the answer.
pub async fn read_away<B>(mut body: B)
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

/// What of a body is in hand: one piece, however small those were that it came in.
#[derive(Default)]
pub struct Gathered {
    first: Bytes,
    more: BytesMut,
}

impl Gathered {
    /// How many bytes are in hand.
    pub fn len(&self) -> usize {
        self.first.len() + self.more.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// More has come.
    pub fn push(&mut self, data: Bytes) {
        if self.is_empty() {
            self.first = data;
            return;
        }
        if self.more.is_empty() {
            self.more.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.more.extend_from_slice(&data);
    }

    /// All of it.
    pub fn whole(self) -> Bytes {
        if self.more.is_empty() { self.first } else { self.more.freeze() }
    }
}

/// A body to its end, without its trailers.
pub async fn gather<B>(mut body: B) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Failure>,
{
    let mut read = Gathered::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(Into::into)?.into_data() {
            read.push(data);
        }
    }
    Ok(read.whole())
}

/// How fast a body has to come: slow is told from stuck by what has come, not by the time that it takes.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// When it began.
    pub begun: Instant,
    /// The time that it has in any case.
    pub grace: Duration,
    /// Bytes a second that it has to bring after that.
    pub rate: f64,
}

impl Pace {
    /// Until when more has to come, after so many bytes.
    pub fn due(&self, bytes: usize) -> Instant {
        self.begun + self.grace + Duration::from_secs_f64(bytes as f64 / self.rate)
    }
}

/// Takes a request's body in: whole, at this pace, where its class and the room allow that, else as one that streams.
/// `answer` is how long its sender waits for the answer from then on.
pub async fn take_in<B>(
    mut body: B,
    passage: &Passage,
    room: &Room,
    pace: Pace,
    answer: Duration,
) -> Result<Payload, Fault>
where
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Failure>,
{
    if body.is_end_stream() {
        return Ok(Payload::Whole(Bytes::new()));
    }
    let hint = body.size_hint();
    // What is said to be too long is not read.
    if hint.lower() > passage.body_most {
        spawn_local(read_away(body));
        return Err(Fault::TooLong);
    }
    let mut read = Gathered::default();
    let mut ended = false;
    let is_short = hint.lower() <= passage.buffer as u64;
    // The room is taken before the first byte is read, for as much as may come.
    let most = hint.exact().map_or(passage.buffer, |n| n as usize);
    let taken = if is_short { room.take_long(most) } else { None };
    if taken.is_some() {
        while read.len() <= passage.buffer {
            let frame = timeout_at(pace.due(read.len()), body.frame()).await.map_err(|_| Fault::Slow)?;
            let Some(frame) = frame else {
                ended = true;
                break;
            };
            // Trailers of a body that is held go no further (RFC 9110, section 6.5.1).
            let Ok(data) = frame.map_err(|_| Fault::BrokeOff)?.into_data() else { continue };
            read.push(data);
        }
    }
    let read = read.whole();
    if ended {
        return Ok(Payload::Whole(match taken {
            Some(taken) => taken.with(read),
            None => read,
        }));
    }
    if read.len() as u64 > passage.body_most {
        spawn_local(read_away(body));
        return Err(Fault::TooLong);
    }
    let (idle, total) = passage.patience();
    let read = match taken {
        Some(taken) => taken.with(read),
        None => read,
    };
    let rest = Box::pin(body.map_err(Into::into));
    let patience = Patience { idle, total, answer };
    Ok(Payload::Upload(Upload::new(read, rest, hint.exact(), passage.body_most, patience)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHORT: usize = 64 * 1024;

    /// Guards the memory against pieces of a byte: what is held is one piece.
    #[test]
    fn what_comes_in_pieces_is_held_in_one() {
        let mut read = Gathered::default();
        (0..SHORT).for_each(|_| read.push(Bytes::from_static(b"y")));
        assert!(read.more.capacity() <= 2 * SHORT && read.len() == SHORT);
        assert_eq!(read.whole(), "y".repeat(SHORT));
        let mut read = Gathered::default();
        read.push(Bytes::from_static(b"whole"));
        assert_eq!(read.whole(), "whole");
    }
}

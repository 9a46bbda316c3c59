//! Bodies that stream: what has left of one on a connection, and how long it may take.

use super::{Failure, Fault, READ_AWAY, Source, discard_body};
use bytes::Bytes;
use hyper::body::Frame;
use prometheus_client::metrics::counter::Counter;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A look at whether anything has come.
const LOOK: Duration = Duration::from_millis(1);

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
pub struct UploadTimeouts {
    /// The longest time in which the upstream takes nothing of it.
    pub idle: Duration,
    /// The longest time in which nothing comes from its sender that could be passed on.
    pub sender: Duration,
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
    patience: UploadTimeouts,
    since: Instant,
    /// When the last of it went on.
    moved: Cell<Instant>,
    /// Since when its sender keeps it waiting.
    starved: Cell<Option<Instant>>,
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
    pub fn new(
        prefix: Bytes,
        rest: Source,
        length: Option<u64>,
        most: u64,
        patience: UploadTimeouts,
    ) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            prefix,
            rest: RefCell::new(Some(rest)),
            length,
            most,
            patience,
            since: now,
            moved: Cell::new(now),
            starved: Cell::new(None),
            whole: Cell::new(false),
            fault: Cell::new(None),
            begun: Notify::new(),
            leftover: RefCell::new(None),
            left: Notify::new(),
        })
    }

    /// Whether an attempt has it, so that no other can.
    pub(super) fn is_spent(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// Its length, where it was stated.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// How long its sender waits for the answer once it has left whole.
    pub fn answer_most(&self) -> Duration {
        self.patience.answer
    }

    /// How long nothing may come from its sender.
    pub fn sender_timeout(&self) -> Duration {
        self.patience.sender
    }

    /// Whether it has left whole.
    pub fn is_complete(&self) -> bool {
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
        let mut looked = false;
        loop {
            let UploadTimeouts { idle, sender, total, answer } = self.patience;
            let starved = self.starved.get().filter(|_| !self.whole.get());
            let due = match starved {
                Some(since) => since + sender,
                None if self.whole.get() => self.moved.get() + answer,
                None => self.moved.get() + idle,
            };
            let (due, now) = (due.min(self.since + total), Instant::now());
            if due <= now {
                if starved.is_some() {
                    if !looked {
                        // A process that stood still finds its timers before what has come meanwhile.
                        looked = true;
                        sleep(LOOK).await;
                        continue;
                    }
                    self.fault.set(Some(Fault::Slow));
                }
                return;
            }
            looked = false;
            // Its sender may fall silent meanwhile, which ends it no sooner than this.
            sleep_until(due.min(now + sender)).await;
        }
    }

    /// Its answer is there though it has not been read whole: the rest is read away, for a while. A connection that is
    /// closed with bytes unread is reset, and a reset takes the answer along that its client has not read yet.
    pub fn discard_rest(self: &Rc<Self>) {
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
                discard_body(rest).await;
            }
        });
    }

    /// It, for one attempt on a connection that has written as much as `written` says.
    pub(super) fn send(self: &Rc<Self>, written: Rc<Written>) -> Sending {
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
    /// How long all of it is, where that was stated.
    pub(super) fn length(&self) -> Option<u64> {
        self.upload.length
    }

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

    /// More of it.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
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
        self.upload.starved.set(Some(self.upload.starved.get().unwrap_or_else(Instant::now)));
        let frame = ready!(source.as_mut().poll_frame(cx));
        self.upload.starved.set(None);
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

#[cfg(test)]
mod tests;

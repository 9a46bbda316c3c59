//! Streaming request bodies, and their write progress on a connection.

mod time;

pub use time::{SenderProgress, SenderTimes, UploadTime, UploadTimeouts};

use super::{BodySource, DISCARD_IDLE_TIMEOUT, Failure, Fault, discard_body};
use crate::parts::time_limit::TimeLimit;
use bytes::Bytes;
use hyper::body::Frame;
use maplehook_core::exchange_time::AnswerDue;
use prometheus_client::metrics::counter::Counter;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Counts the bytes of a connection that the kernel accepted, and wakes the task that waits for a write.
#[derive(Default)]
pub struct WriteCounter {
    count: Cell<u64>,
    /// True if the kernel took nothing of the last write.
    is_blocked: Cell<bool>,
    /// Task that waits for the next write.
    write_waker: Cell<Option<Waker>>,
    /// Write count at the end of the current request; `u64::MAX` if its length is unknown.
    request_end: Cell<u64>,
    sent_counter: Cell<Option<Counter>>,
}

impl WriteCounter {
    /// Adds `n` bytes accepted by the kernel.
    pub fn record(&self, n: usize) {
        self.count.set(self.count.get() + n as u64);
        self.is_blocked.set(false);
        if let Some(waker) = self.write_waker.take() {
            waker.wake();
        }
        if self.count.get() >= self.request_end.get() {
            self.count_sent();
        }
    }

    /// Records that the kernel took nothing of a write.
    pub fn record_blocked(&self) {
        self.is_blocked.set(true);
    }

    /// Starts a request. `sent_counter` is incremented once `length` bytes are written, or at the end of the
    /// body if `length` is `None`.
    pub fn begin_request(&self, length: Option<u64>, sent_counter: Option<Counter>) {
        self.request_end.set(length.map_or(u64::MAX, |n| self.count.get() + n));
        self.sent_counter.set(sent_counter);
    }

    fn count_sent(&self) {
        if let Some(sent_counter) = self.sent_counter.take() {
            sent_counter.inc();
        }
    }

    /// Returns the total number of bytes written on the connection.
    pub fn count(&self) -> u64 {
        self.count.get()
    }
}

/// Streaming request body: the part already read, and the rest.
pub struct Upload {
    prefix: Bytes,
    remaining: RefCell<Option<BodySource>>,
    /// Length announced by the sender, in bytes.
    length: Option<u64>,
    max_length: u64,
    time: UploadTime,
    is_complete: Cell<bool>,
    fault: Cell<Option<Fault>>,
    started: Notify,
    /// Unread rest of the body, left by an attempt that ended early.
    unread: RefCell<Option<BodySource>>,
    unread_available: Notify,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).field("whole", &self.is_complete).finish()
    }
}

impl Upload {
    /// Creates an upload of which `prefix` was already read; `max_length` bounds the whole body in bytes.
    pub fn new(
        prefix: Bytes,
        remaining: BodySource,
        length: Option<u64>,
        max_length: u64,
        timeouts: UploadTimeouts,
    ) -> Rc<Self> {
        Rc::new(Self {
            prefix,
            remaining: RefCell::new(Some(remaining)),
            length,
            max_length,
            time: UploadTime::new(timeouts),
            is_complete: Cell::new(false),
            fault: Cell::new(None),
            started: Notify::new(),
            unread: RefCell::new(None),
            unread_available: Notify::new(),
        })
    }

    /// Returns true if an attempt has taken the body, so that no other attempt can send it.
    pub(super) fn is_spent(&self) -> bool {
        self.remaining.borrow().is_none()
    }

    /// Returns the length announced by the sender, in bytes.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the time of the exchange that the body belongs to.
    pub fn time(&self) -> &UploadTime {
        &self.time
    }

    /// Returns true if the last byte was written.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Returns the sender's fault, if there was one.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Waits until an attempt has taken the body.
    pub async fn wait_until_started(&self) {
        self.started.notified().await;
    }

    /// Waits until the body, or the response to it, has exceeded a timeout, and returns which. `answer_by`
    /// picks the time until which the response is awaited.
    pub async fn wait_until_timed_out(&self, answer_by: fn(&AnswerDue) -> Duration) -> TimeLimit {
        let limit = self.time.wait_until_exceeded(answer_by).await;
        if limit == TimeLimit::ClientIdle {
            self.fault.set(Some(Fault::Slow));
        }
        limit
    }

    /// Discards the unread rest of the body for a limited time, once the response exists. Closing a
    /// connection with unread bytes resets it, and the reset can destroy a response that the client has not
    /// read yet.
    pub fn discard_rest(self: &Rc<Self>) {
        if self.is_complete.get() || self.fault.get() == Some(Fault::BrokeOff) {
            return;
        }
        let upload = Rc::clone(self);
        spawn_local(async move {
            let remaining = upload.remaining.borrow_mut().take();
            let remaining = match remaining {
                Some(remaining) => Some(remaining),
                None => {
                    // The attempt that holds the body is about to end.
                    let _ = timeout(DISCARD_IDLE_TIMEOUT, upload.unread_available.notified()).await;
                    upload.unread.borrow_mut().take()
                }
            };
            if let Some(remaining) = remaining {
                discard_body(remaining).await;
            }
        });
    }

    /// Creates the body of one attempt on a connection with the write counter `written`.
    pub(super) fn send(self: &Rc<Self>, written: Rc<WriteCounter>) -> UploadBody {
        let written_before = written.count();
        UploadBody {
            upload: Rc::clone(self),
            prefix: self.prefix.clone(),
            source: None,
            sent: 0,
            written,
            written_before,
        }
    }
}

/// Upload that is being sent to one upstream.
pub struct UploadBody {
    upload: Rc<Upload>,
    prefix: Bytes,
    source: Option<BodySource>,
    sent: u64,
    written: Rc<WriteCounter>,
    written_before: u64,
}

impl Drop for UploadBody {
    fn drop(&mut self) {
        if let Some(source) = self.source.take() {
            *self.upload.unread.borrow_mut() = Some(source);
            self.upload.unread_available.notify_one();
        }
    }
}

impl UploadBody {
    /// Returns the announced length in bytes.
    pub(super) fn length(&self) -> Option<u64> {
        self.upload.length
    }

    /// Records bytes handed to hyper. With an announced length hyper does not poll for the end, so it is
    /// detected here.
    fn record_sent(&mut self, bytes: usize) {
        self.sent += bytes as u64;
        let remaining = self.upload.length.map(|length| length.saturating_sub(self.sent));
        self.upload.time.on_received(bytes, remaining);
        if self.upload.length == Some(self.sent) {
            self.mark_complete();
        }
    }

    fn mark_complete(&self) {
        self.upload.is_complete.set(true);
        self.upload.time.on_complete();
        self.written.count_sent();
    }

    fn fail(&self, fault: Fault) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.upload.fault.set(Some(fault));
        Poll::Ready(Some(Err(fault.into())))
    }

    /// Returns the next frame.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            self.record_sent(prefix.len());
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        if self.source.is_none() {
            if self.written.count() == self.written_before {
                // Until this connection accepts a byte, another attempt can still take the body.
                self.written.write_waker.set(Some(cx.waker().clone()));
                return Poll::Pending;
            }
            self.source = self.upload.remaining.borrow_mut().take();
            self.upload.time.on_progress();
            self.upload.started.notify_one();
        }
        let Some(source) = &mut self.source else {
            return Poll::Ready(Some(Err("the body was already sent by another attempt".into())));
        };
        if self.written.is_blocked.get() {
            // Nothing is read from the client while the upstream accepts nothing.
            self.upload.time.on_blocked();
            self.written.write_waker.set(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        self.upload.time.on_read();
        let Poll::Ready(frame) = source.as_mut().poll_frame(cx) else {
            self.upload.time.on_drained();
            return Poll::Pending;
        };
        self.upload.time.on_progress();
        match frame {
            Some(Ok(frame)) => {
                self.record_sent(frame.data_ref().map_or(0, Bytes::len));
                if self.sent > self.upload.max_length {
                    return self.fail(Fault::TooLong);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.fail(Fault::BrokeOff),
            None => {
                self.mark_complete();
                Poll::Ready(None)
            }
        }
    }
}

#[cfg(test)]
mod tests;

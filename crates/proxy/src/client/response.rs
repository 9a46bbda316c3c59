//! The response that is being written to a client: how far it has left, and when more of it may be written.

use super::ClientConnection;
use maplehook_core::request_lifecycle::RequestLifecycle;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

impl ClientConnection {
    /// Records the result of a write to the client's socket.
    pub fn on_write<T>(&self, poll: Poll<T>) -> Poll<T> {
        self.progress.on_write(&poll);
        if poll.is_ready() {
            self.blocked_body.take().inspect(Waker::wake_by_ref);
        }
        poll
    }

    /// Completes once the client's socket has taken everything that was written to it, so that no more of a
    /// response is kept in memory than the client reads.
    pub fn poll_writable(&self, cx: &Context<'_>) -> Poll<()> {
        if !self.progress.is_write_blocked() {
            return Poll::Ready(());
        }
        self.blocked_body.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records that the head of a streaming response to `request` goes to the HTTP connection now.
    pub fn on_head_queued(&self, request: &Rc<RequestLifecycle>) {
        request.on_head_queued();
        self.answered_request.replace(Some(Rc::clone(request)));
    }

    /// Records that the client's socket has taken everything that the HTTP connection had.
    pub fn on_flushed(&self) {
        if let Some(request) = &*self.answered_request.borrow() {
            request.on_flushed();
            self.blocked_body.take().inspect(Waker::wake_by_ref);
        }
    }

    /// Wakes the task of a streaming response after the next flush.
    pub fn wake_when_flushed(&self, cx: &Context<'_>) {
        self.blocked_body.set(Some(cx.waker().clone()));
    }

    /// Records that the body of the streaming response has ended.
    pub fn on_streamed(&self) {
        self.answered_request.take().inspect(|request| request.on_ended());
    }
}

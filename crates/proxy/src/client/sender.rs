//! When a client has written its request, as far as the bytes that arrive show it.

use super::ClientConnection;
use maplehook::parts::body::{SenderProgress, SenderTimes};
use maplehook_core::exchange_time::SenderClock;
use tokio::time::Instant;

impl ClientConnection {
    /// Starts the clock of a request whose head was read.
    pub(super) fn start_sender_clock(&self) {
        let received_at = self.progress.last_received().saturating_duration_since(self.created_at);
        *self.sender.borrow_mut() = SenderClock::new(received_at);
    }

    /// Records bytes received from the client, before the HTTP connection reads them.
    pub fn on_received(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.progress.on_received(now);
        let mut framing = self.framing.borrow_mut();
        framing.on_bytes(bytes, now);
        let remaining = framing.remaining_body_bytes();
        self.sender.borrow_mut().on_received(now - self.created_at, bytes.len(), remaining);
    }

    /// Records that bytes from the client wait in the socket's receive buffer.
    pub fn on_unread_bytes(&self) {
        self.progress.on_received(Instant::now());
        self.on_unread();
    }

    /// Records that bytes wait that are not read, which says nothing about the client's pace.
    pub fn on_unread(&self) {
        self.sender.borrow_mut().on_unread(self.created_at.elapsed());
    }

    /// Records that everything that the client has sent was read.
    pub fn on_drained(&self) {
        if self.framing.borrow().is_body_incomplete() {
            self.sender.borrow_mut().on_drained(self.created_at.elapsed());
        }
    }
}

impl SenderProgress for ClientConnection {
    fn sender_times(&self) -> SenderTimes {
        let incomplete_for = self.sender.borrow().incomplete_at(self.created_at.elapsed());
        SenderTimes {
            incomplete_at: self.created_at + incomplete_for,
            completed_at: self.request_completed_at(),
        }
    }
}

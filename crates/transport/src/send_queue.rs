//! The send queue of a connection: bounded, and when it is full the oldest message is dropped. Whoever sends must be able
//! to send the same again: a document that was dropped is followed by a newer one, or asked for.

use crate::frames::Message;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The most messages that wait.
const MAX_MESSAGES: usize = 64;
/// The most bytes that wait; one message may always wait, however long.
const MAX_BYTES: usize = 8 << 20;

#[derive(Debug, Default)]
struct QueueState {
    messages: VecDeque<Message>,
    bytes: usize,
    dropped: u64,
}

impl QueueState {
    fn is_over_limit(&self) -> bool {
        self.messages.len() > MAX_MESSAGES || (self.bytes > MAX_BYTES && self.messages.len() > 1)
    }
}

/// A queue of messages; its clones are the same queue.
#[derive(Clone, Debug, Default)]
pub struct SendQueue {
    state: Arc<Mutex<QueueState>>,
    not_empty: Arc<Notify>,
}

impl SendQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a message, and drops the oldest ones while the queue is over its limits.
    pub fn push(&self, message: Message) {
        let state = &mut *self.lock();
        state.bytes += message.body.len();
        state.messages.push_back(message);
        while state.is_over_limit() {
            if let Some(oldest) = state.messages.pop_front() {
                state.bytes -= oldest.body.len();
                state.dropped += 1;
            }
        }
        self.not_empty.notify_one();
    }

    /// Waits for the first message and removes it.
    pub async fn next(&self) -> Message {
        loop {
            let not_empty = self.not_empty.notified();
            if let Some(message) = self.pop() {
                return message;
            }
            not_empty.await;
        }
    }

    fn pop(&self) -> Option<Message> {
        let state = &mut *self.lock();
        let message = state.messages.pop_front()?;
        state.bytes -= message.body.len();
        Some(message)
    }

    /// Returns how many messages were dropped.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }
}

#[cfg(test)]
mod tests;

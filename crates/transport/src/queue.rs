//! What waits to be sent on a connection: bounded, and when it is full the oldest goes. Whoever sends must be able to say
//! the same again: a document that was dropped is followed by a newer one, or asked for.

use crate::frames::Message;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// The most messages.
const MESSAGES_MOST: usize = 64;
/// The most bytes, whatever their number; one message may always wait.
const BYTES_MOST: usize = 8 << 20;

#[derive(Debug, Default)]
struct Waiting {
    messages: VecDeque<Message>,
    bytes: usize,
    dropped: u64,
}

/// A queue; its copies are the same one.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Arc<Mutex<Waiting>>,
    stirred: Arc<Notify>,
}

impl Queue {
    /// Puts one at the end.
    pub fn push(&self, message: Message) {
        let waiting = &mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.bytes += message.body.len();
        waiting.messages.push_back(message);
        while waiting.messages.len() > MESSAGES_MOST
            || (waiting.bytes > BYTES_MOST && waiting.messages.len() > 1)
        {
            if let Some(oldest) = waiting.messages.pop_front() {
                waiting.bytes -= oldest.body.len();
                waiting.dropped += 1;
            }
        }
        self.stirred.notify_one();
    }

    /// Waits for the first one and takes it.
    pub async fn next(&self) -> Message {
        loop {
            let stirred = self.stirred.notified();
            if let Some(message) = self.take() {
                return message;
            }
            stirred.await;
        }
    }

    fn take(&self) -> Option<Message> {
        let waiting = &mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let message = waiting.messages.pop_front()?;
        waiting.bytes -= message.body.len();
        Some(message)
    }

    /// How many were dropped.
    pub fn dropped(&self) -> u64 {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(topic: u8, length: usize) -> Message {
        Message { topic, body: vec![0; length].into() }
    }

    #[test]
    fn the_oldest_goes() {
        let queue = Queue::default();
        (0..70).for_each(|n| queue.push(message(n, 1)));
        assert_eq!(queue.dropped(), 6);
        assert_eq!(queue.take().unwrap().topic, 6);
        (0..11).for_each(|n| queue.push(message(100 + n, 1 << 20)));
        let left: Vec<u8> = std::iter::from_fn(|| queue.take()).map(|message| message.topic).collect();
        assert_eq!(left, [103, 104, 105, 106, 107, 108, 109, 110], "no more than 8 MiB wait");
        queue.push(message(1, 9 << 20));
        assert!(queue.take().is_some(), "one may always wait");
    }
}

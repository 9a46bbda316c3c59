//! Memory for bodies: all that are held share it, from the word on their length until nobody needs them.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bodies this short cost no more than the connection that they came on.
const FREE: usize = 4 * 1024;

/// BodyMemory for bodies. Whoever holds one may be on another thread.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<AtomicUsize>);

/// Part of the room, given back when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    room: BodyMemory,
    length: usize,
}

impl BodyMemory {
    /// So many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Takes so many bytes, if they are there.
    pub fn take(&self, length: usize) -> Option<MemoryReservation> {
        let less = |left: usize| left.checked_sub(length);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).ok()?;
        Some(MemoryReservation { room: self.clone(), length })
    }

    /// The same, but for bodies so short that it is not worth counting.
    pub fn take_long(&self, length: usize) -> Option<MemoryReservation> {
        self.take(if length <= FREE { 0 } else { length })
    }

    /// Bytes that are left.
    pub fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.length, Ordering::Relaxed);
    }
}

impl MemoryReservation {
    /// Only so many of these bytes; the others are given back.
    pub fn shrunk(mut self, length: usize) -> Self {
        let length = length.min(self.length);
        self.room.0.fetch_add(self.length - length, Ordering::Relaxed);
        self.length = length;
        self
    }

    /// A body that gives its room back when the last of those who have it lets go.
    pub fn with(self, body: Bytes) -> Bytes {
        if self.length == 0 { body } else { Bytes::from_owner(Held(body, self)) }
    }
}

struct Held(Bytes, #[expect(dead_code, reason = "held for its drop")] MemoryReservation);

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the memory against bodies that are given back on another thread at the same moment.
    #[test]
    fn what_is_taken_comes_back_from_any_thread() {
        let room = BodyMemory::new(1 << 20);
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    for _ in 0..20_000 {
                        drop(room.take(5000).map(|taken| taken.with(Bytes::from_static(b"x")).clone()));
                    }
                });
            }
        });
        assert_eq!(room.left(), 1 << 20);
        let body = room.take(1 << 20).unwrap().with(Bytes::from_static(b"long"));
        assert!(room.take(1).is_none() && room.take_long(FREE).is_some());
        drop((body.slice(1..2), body));
        assert_eq!(room.left(), 1 << 20);
    }
}

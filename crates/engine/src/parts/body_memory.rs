//! Memory budget for buffered bodies, reserved once the length of a body is known and released when its last
//! holder drops it.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bodies up to this length in bytes are not counted: they cost no more than their connection.
const MAX_UNCOUNTED_BYTES: usize = 4 * 1024;

/// Shared memory budget. Holders of a body may be on other threads.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<AtomicUsize>);

/// Reserved part of the budget; released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: BodyMemory,
    length: usize,
}

impl BodyMemory {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Reserves `length` bytes, or returns `None` if fewer are available.
    pub fn reserve(&self, length: usize) -> Option<MemoryReservation> {
        let decrement = |available: usize| available.checked_sub(length);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).ok()?;
        Some(MemoryReservation { memory: self.clone(), length })
    }

    /// Like [`Self::reserve`], but does not count bodies of up to 4 KiB.
    pub fn reserve_body(&self, length: usize) -> Option<MemoryReservation> {
        self.reserve(if length <= MAX_UNCOUNTED_BYTES { 0 } else { length })
    }

    /// Returns the number of available bytes.
    pub fn available(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.0.fetch_add(self.length, Ordering::Relaxed);
    }
}

impl MemoryReservation {
    /// Releases all but `length` bytes.
    pub fn shrink_to(mut self, length: usize) -> Self {
        let length = length.min(self.length);
        self.memory.0.fetch_add(self.length - length, Ordering::Relaxed);
        self.length = length;
        self
    }

    /// Ties the reservation to a body: it is released when the last reference to the body is dropped.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        if self.length == 0 { body } else { Bytes::from_owner(AccountedBody(body, self)) }
    }
}

struct AccountedBody(Bytes, #[expect(dead_code, reason = "released on drop")] MemoryReservation);

impl AsRef<[u8]> for AccountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against lost updates of the budget when several threads release bodies at the same time.
    #[test]
    fn reservations_can_be_released_on_any_thread() {
        let memory = BodyMemory::new(1 << 20);
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    for _ in 0..20_000 {
                        drop(
                            memory
                                .reserve(5000)
                                .map(|reservation| reservation.attach_to(Bytes::from_static(b"x")).clone()),
                        );
                    }
                });
            }
        });
        assert_eq!(memory.available(), 1 << 20);
        let body = memory.reserve(1 << 20).unwrap().attach_to(Bytes::from_static(b"long"));
        assert!(memory.reserve(1).is_none() && memory.reserve_body(MAX_UNCOUNTED_BYTES).is_some());
        drop((body.slice(1..2), body));
        assert_eq!(memory.available(), 1 << 20);
    }
}

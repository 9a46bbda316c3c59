//! Memory budget for buffers: heads, bodies, bytes read ahead and documents. Memory is reserved before a buffer
//! grows, and released when the last holder of the buffer drops it.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Bodies up to this length in bytes are not counted: they are part of the fixed cost of their connection.
const MAX_UNCOUNTED_BYTES: usize = 4 * 1024;
/// Heads up to this cost are part of the fixed cost of their connection.
const MAX_UNCOUNTED_HEAD_BYTES: usize = 6 * 1024;
/// Copies of a head's bytes: the buffer that they were read into, and the one that they are written from.
const HEAD_COPIES: usize = 2;
/// Memory of a parsed header field beside its bytes, in the maps of the request and of the attempt in flight.
const FIELD_BYTES: usize = 320;
/// Longest heads of one exchange; longer ones are invalid.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most fields that are parsed; a head with more is invalid.
const MAX_PARSED_FIELDS: usize = 100;

#[derive(Debug)]
struct Account {
    capacity: usize,
    available: AtomicUsize,
    denied: AtomicU64,
}

/// Shared memory budget. Holders of a buffer may be on other threads.
#[derive(Clone, Debug)]
pub struct BufferMemory(Arc<Account>);

/// Reserved part of the budget; released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: BufferMemory,
    length: usize,
}

impl BufferMemory {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Account {
            capacity: bytes,
            available: AtomicUsize::new(bytes),
            denied: AtomicU64::new(0),
        }))
    }

    /// Reserves `length` bytes, or returns `None` if fewer are available.
    pub fn reserve(&self, length: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.grow_to(length).then_some(reservation)
    }

    /// Like [`Self::reserve`], but does not count bodies of up to 4 KiB.
    pub fn reserve_body(&self, length: usize) -> Option<MemoryReservation> {
        self.reserve(if length <= MAX_UNCOUNTED_BYTES { 0 } else { length })
    }

    /// Returns a reservation of nothing, which can grow.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { memory: self.clone(), length: 0 }
    }

    /// Returns the number of available bytes.
    pub fn available(&self) -> usize {
        self.0.available.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.0.capacity - self.available()
    }

    /// Returns how many reservations were denied.
    pub fn denied(&self) -> u64 {
        self.0.denied.load(Ordering::Relaxed)
    }
}

/// Returns the memory to reserve for a message head of this length and number of fields, on top of the fixed cost
/// of its connection.
pub fn head_cost(length: usize, fields: usize) -> usize {
    (HEAD_COPIES * length.min(MAX_HEAD_BYTES) + FIELD_BYTES * fields.min(MAX_PARSED_FIELDS))
        .saturating_sub(MAX_UNCOUNTED_HEAD_BYTES)
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.0.available.fetch_add(self.length, Ordering::Relaxed);
    }
}

impl MemoryReservation {
    /// Returns the number of reserved bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Reserves up to `length` bytes in all. Returns false, and changes nothing, if they are not available.
    pub fn grow_to(&mut self, length: usize) -> bool {
        let missing = length.saturating_sub(self.length);
        let decrement = |available: usize| available.checked_sub(missing);
        let account = &self.memory.0;
        if account.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_err() {
            account.denied.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.length += missing;
        true
    }

    /// Releases all but `length` bytes.
    pub fn shrink_to(mut self, length: usize) -> Self {
        self.release_to(length);
        self
    }

    /// Releases all but `length` bytes.
    pub fn release_to(&mut self, length: usize) {
        let length = length.min(self.length);
        self.memory.0.available.fetch_add(self.length - length, Ordering::Relaxed);
        self.length = length;
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
mod tests;

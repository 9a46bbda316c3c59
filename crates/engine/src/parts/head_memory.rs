//! Memory of the message heads on one connection. Readers and writers of HTTP keep buffers and maps of the size of
//! the longest head so far, so a reservation never shrinks before the connection is closed.

use crate::parts::buffer_memory::{BufferMemory, MemoryReservation, head_cost};
use std::cell::{Cell, RefCell};

/// Reservation for the longest head of one connection, which grows while a head is received.
#[derive(Debug)]
pub struct HeadMemory {
    reservation: RefCell<MemoryReservation>,
    /// Bytes and fields of the current exchange.
    bytes: Cell<usize>,
    fields: Cell<usize>,
}

impl HeadMemory {
    /// Creates a reservation of nothing in `memory`.
    pub fn new(memory: &BufferMemory) -> Self {
        Self {
            reservation: RefCell::new(memory.empty_reservation()),
            bytes: Cell::new(0),
            fields: Cell::new(0),
        }
    }

    /// Starts another exchange.
    pub fn begin(&self) {
        self.bytes.set(0);
        self.fields.set(0);
    }

    /// Adds received bytes, up to the end of the head if it is among them. Returns false if there is no memory for
    /// them.
    #[must_use]
    pub fn receive(&self, bytes: &[u8]) -> bool {
        let end = memchr::memmem::find(bytes, b"\r\n\r\n").unwrap_or(bytes.len());
        self.extend(end, memchr::memchr_iter(b'\n', &bytes[..end]).count())
    }

    /// Adds bytes and fields of a head. Returns false if there is no memory for them.
    #[must_use]
    pub fn extend(&self, bytes: usize, fields: usize) -> bool {
        self.bytes.set(self.bytes.get() + bytes);
        self.fields.set(self.fields.get() + fields);
        self.reserve_with(0)
    }

    /// Reserves memory for the current heads and for `other_bytes` more. Returns false if there is none.
    #[must_use]
    pub fn reserve_with(&self, other_bytes: usize) -> bool {
        let needed = head_cost(self.bytes.get(), self.fields.get()) + other_bytes;
        self.reservation.borrow_mut().grow_to(needed)
    }
}

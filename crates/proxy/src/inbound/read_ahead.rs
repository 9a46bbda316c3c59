//! Bytes that are received while the HTTP connection does not read.

use bytes::{Buf, BytesMut};
use maplehook::parts::buffer_memory::{BufferMemory, MemoryReservation};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::ReadBuf;

/// Maximum number of bytes read ahead of one client. The end of a client that has sent more than that behind a
/// request may be hidden: its kernel may not have transmitted the end at all.
const MAX_BYTES: usize = 256 * 1024;
/// The same for a streaming body, beyond what the upstream accepts: received bytes show that the client has not
/// stalled.
const MAX_UPLOAD_BYTES: usize = 128 * 1024;
/// Upper bound for the bytes read ahead of all clients together, which get this share of the memory at most.
const MAX_TOTAL_BYTES: usize = 4 * 1024 * 1024;
const MEMORY_DIVISOR: usize = 4;
/// Uploads may use only part of the total, so that the ends of other clients are still detected.
const UPLOAD_DIVISOR: usize = 2;
/// Memory of a buffered byte: the buffer doubles when it grows.
const BUFFER_GROWTH: usize = 2;

/// What the bytes that are read ahead belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAheadPurpose {
    /// Further requests behind a complete one.
    DetectEnd,
    /// The rest of a streaming body.
    Upload,
}

/// Number of bytes that are read ahead of all clients together, and the memory that they share with other buffers.
pub struct ReadAheadTotal {
    bytes: Cell<usize>,
    limit: usize,
    memory: BufferMemory,
}

impl ReadAheadTotal {
    /// Creates a total without bytes.
    pub fn new(memory: &BufferMemory) -> Rc<Self> {
        let limit = MAX_TOTAL_BYTES.min(memory.available() / MEMORY_DIVISOR);
        Rc::new(Self { bytes: Cell::new(0), limit, memory: memory.clone() })
    }

    /// Returns the memory that is shared with other buffers.
    pub fn memory(&self) -> &BufferMemory {
        &self.memory
    }
}

/// Bytes read ahead of one client.
pub struct ReadAhead {
    bytes: BytesMut,
    reservation: MemoryReservation,
    total: Rc<ReadAheadTotal>,
}

impl ReadAhead {
    /// Creates an empty buffer, which counts towards `total`.
    pub fn new(total: Rc<ReadAheadTotal>) -> Self {
        Self { bytes: BytesMut::new(), reservation: total.memory.empty_reservation(), total }
    }

    /// Returns true if nothing was read ahead.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns true if `length` further bytes may be read ahead.
    pub fn may_grow(&self, length: usize, purpose: ReadAheadPurpose) -> bool {
        let (max_bytes, max_total) = match purpose {
            ReadAheadPurpose::DetectEnd => (MAX_BYTES, self.total.limit),
            ReadAheadPurpose::Upload => (MAX_UPLOAD_BYTES, self.total.limit / UPLOAD_DIVISOR),
        };
        let missing = (BUFFER_GROWTH * (self.bytes.len() + length)).saturating_sub(self.reservation.length());
        self.bytes.len() < max_bytes
            && self.total.bytes.get() < max_total
            && missing <= self.total.memory.available()
    }

    /// Appends received bytes, which [`Self::may_grow`] has allowed.
    pub fn push(&mut self, chunk: &[u8]) {
        let _ = self.reservation.grow_to(BUFFER_GROWTH * (self.bytes.len() + chunk.len()));
        self.bytes.extend_from_slice(chunk);
        self.total.bytes.set(self.total.bytes.get() + chunk.len());
    }

    /// Moves up to `max_bytes` to `buf`.
    pub fn take(&mut self, buf: &mut ReadBuf<'_>, max_bytes: usize) {
        let n = self.bytes.len().min(buf.remaining()).min(max_bytes);
        buf.put_slice(&self.bytes[..n]);
        self.bytes.advance(n);
        self.total.bytes.set(self.total.bytes.get() - n);
        if self.bytes.is_empty() {
            // The allocation goes with the last byte.
            self.bytes = BytesMut::new();
            self.reservation.release_to(0);
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.total.bytes.set(self.total.bytes.get() - self.bytes.len());
    }
}

//! What was received on a client connection, by the boundaries of its requests.

use super::{ClientConnection, ConnectionState};
use tokio::time::Instant;

/// Number of pipelined requests behind which no more are read ahead.
const MAX_REQUESTS_READ_AHEAD: usize = 512;
/// Memory of the records of pipelined requests that is part of the fixed cost of a connection, in bytes.
const MIN_COUNTED_FRAMING_BYTES: usize = 1024;

impl ClientConnection {
    /// Returns true if the current head has a `Content-Length` next to `Transfer-Encoding`; hyper does not
    /// expose that length.
    pub fn has_hidden_length(&self) -> bool {
        self.has_hidden_length.get()
    }

    /// Returns true if part of another request was received after the current one.
    pub fn has_pipelined_bytes(&self) -> bool {
        self.framing.borrow().has_next_request_bytes()
    }

    /// Returns true if a complete request was received after the current one; that request must be answered
    /// too.
    pub fn has_complete_pipelined_request(&self) -> bool {
        self.framing.borrow().has_complete_next_request()
    }

    /// Returns true if the bytes that are read next belong to a head, not to a body, which may still be discarded
    /// after its response.
    pub fn is_receiving_head(&self) -> bool {
        matches!(self.state.get(), ConnectionState::New | ConnectionState::Idle)
            && !self.framing.borrow().is_body_incomplete()
    }

    /// Returns true if so many requests were received behind the current one that no more are read ahead.
    pub fn has_many_pipelined_requests(&self) -> bool {
        self.framing.borrow().queued_requests() >= MAX_REQUESTS_READ_AHEAD
    }

    /// Returns the memory of the records of pipelined requests beyond the first few, in bytes.
    pub fn framing_memory(&self) -> usize {
        self.framing.borrow().queue_memory().saturating_sub(MIN_COUNTED_FRAMING_BYTES)
    }

    /// Returns when the last byte of the current request was received, if known.
    pub fn request_completed_at(&self) -> Option<Instant> {
        self.framing.borrow().completed_at()
    }

    /// Returns true if the client has sent part of a request that is not complete yet.
    pub fn is_sending_request(&self) -> bool {
        self.state.get() == ConnectionState::Reading
            || (self.state.get() != ConnectionState::Held && self.has_pipelined_bytes())
    }
}

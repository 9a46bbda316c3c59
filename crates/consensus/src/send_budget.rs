//! A limit on the texts that a leader sends at once, so that what is buffered for slow members stays bounded.

use crate::config::TICK;
use std::time::Instant;

/// The most bytes of texts that a leader sends within a tick.
const MAX_TEXT_BYTES_PER_TICK: usize = 4 << 20;

/// The bytes of texts that were sent within the present tick.
pub(crate) struct SendBudget {
    bytes_sent: usize,
    since: Instant,
}

impl SendBudget {
    pub(crate) fn new() -> Self {
        Self { bytes_sent: 0, since: Instant::now() }
    }

    /// Reserves bytes to be sent now. Returns `false` if the tick's limit is reached; the member will ask again. A text that is
    /// longer than the limit is sent alone.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        if self.since.elapsed() >= TICK {
            *self = Self::new();
        }
        if self.bytes_sent > 0 && self.bytes_sent + bytes > MAX_TEXT_BYTES_PER_TICK {
            return false;
        }
        self.bytes_sent += bytes;
        true
    }
}

//! Replay protection of datagrams: the sliding window of RFC 4303, section 3.4.3, one for each sender's generation.

use crate::name::Name;
use std::collections::BTreeMap;
use thiserror::Error;

/// How far behind the highest received sequence number a datagram may come.
const WINDOW_WIDTH: u64 = 256;
const WORDS: usize = (WINDOW_WIDTH / u64::BITS as u64) as usize;

/// Why a datagram is rejected by its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReplayError {
    /// The datagram was received before, or is too far behind to tell.
    #[error("seen before")]
    Repeated,
    /// The datagram is from an earlier generation of its sender than one that was received.
    #[error("of an earlier start")]
    EarlierGeneration,
}

#[derive(Clone, Debug)]
struct ReplayWindow {
    generation: u64,
    /// The highest sequence number that was received.
    highest: u64,
    /// One bit for each of the last [`WINDOW_WIDTH`] sequence numbers.
    received: [u64; WORDS],
}

impl ReplayWindow {
    fn new(generation: u64) -> Self {
        Self { generation, highest: 0, received: [0; WORDS] }
    }

    fn bit(&mut self, sequence: u64) -> (&mut u64, u64) {
        let at = sequence % WINDOW_WIDTH;
        (&mut self.received[(at / 64) as usize], 1 << (at % 64))
    }

    fn accept(&mut self, sequence: u64) -> Result<(), ReplayError> {
        if sequence > self.highest {
            self.advance_to(sequence);
        } else if self.highest - sequence >= WINDOW_WIDTH {
            return Err(ReplayError::Repeated);
        } else {
            let (word, bit) = self.bit(sequence);
            if *word & bit != 0 {
                return Err(ReplayError::Repeated);
            }
        }
        let (word, bit) = self.bit(sequence);
        *word |= bit;
        Ok(())
    }

    /// Moves the window, and clears the bits of the sequence numbers that are skipped.
    fn advance_to(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW_WIDTH {
            self.received = Default::default();
        } else {
            for skipped in self.highest + 1..sequence {
                let (word, bit) = self.bit(skipped);
                *word &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// The replay windows of all senders.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindows(BTreeMap<Name, ReplayWindow>);

impl ReplayWindows {
    /// Accepts a datagram whose MAC was verified.
    ///
    /// # Errors
    ///
    /// Rejects a datagram that was received before, or is of an earlier generation.
    pub fn accept(&mut self, from: &Name, generation: u64, sequence: u64) -> Result<(), ReplayError> {
        let window = self.0.entry(from.clone()).or_insert_with(|| ReplayWindow::new(generation));
        if generation < window.generation {
            return Err(ReplayError::EarlierGeneration);
        }
        if generation > window.generation {
            *window = ReplayWindow::new(generation);
        }
        window.accept(sequence)
    }
}

#[cfg(test)]
mod tests;

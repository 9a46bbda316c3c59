//! The simulator's binary wire: batches of events in, replies of actions out. No decisions.
//!
//! All numbers are big-endian; times are milliseconds with fractions. A batch is its length, the clock and
//! records; a reply is its length and the actions.

mod decode;
mod encode;
mod reader;
mod record;

pub(crate) use decode::decode;
pub(crate) use encode::{begin_reply, encode_action, finish_reply};
pub(crate) use record::{AttemptEnd, LocatedRecord, Record};

/// A fault in a batch.
#[derive(Debug, PartialEq)]
pub(crate) struct WireError {
    /// The byte of the batch at which the fault is, its length field included.
    pub(crate) offset: usize,
    /// What is wrong there.
    pub(crate) reason: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "byte {}: {}", self.offset, self.reason)
    }
}

impl std::error::Error for WireError {}

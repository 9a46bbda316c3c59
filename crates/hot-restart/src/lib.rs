//! Hot restart: what one balancer process leaves to the next, and what of it may be used. No I/O and no clock.
//!
//! The file is a line with the format's name, its version, a checksum and a length, and JSON of that length. Whatever is
//! wrong with it, nothing of it is used; whatever is too old may no longer be true.
//!
//! [`HotRestartSnapshot`] owns the form of the file. The daemon owns the file itself and decides when it is written; the decisions of
//! `maplehook_core` own what was learned, and turn it into their `LearnedState`.
#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod error;
mod format;
mod learned;
mod snapshot;

pub use error::SnapshotError;
pub use format::MAX_SNAPSHOT_BYTES;
pub use snapshot::{HotRestartSnapshot, LearnedEndpoint, MAX_SNAPSHOT_AGE, SnapshotEndpoint, SnapshotReader};

#[cfg(test)]
mod tests;

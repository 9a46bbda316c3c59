//! The commands that the voters' log holds, and the errors by which the state rejects them.

use serde::{Deserialize, Serialize};

/// The longest text of a version, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// The longest body of the shared document, in bytes: two parts of 256 KiB, and what encloses them.
pub const MAX_BODY_BYTES: usize = (512 << 10) + 256;

/// A command in the voters' log. It is encoded by `postcard`, so the order of variants and fields is its format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Proposes a version.
    Propose {
        /// The epoch in which the proposer saw that every member had left the previous phase.
        epoch: u64,
        /// The version that must be active; `None` if that does not matter.
        expected: Option<u64>,
        /// The text.
        text: String,
        /// The name of the proposer.
        proposed_by: String,
        /// The time by the proposer's clock, in Unix milliseconds.
        proposed_at_unix_ms: u64,
    },
    /// Completes the transition that is under way.
    Advance {
        /// The epoch that every member has reached, or whose predecessor it can no longer act on.
        epoch: u64,
    },
    /// Undoes the transition that is under way.
    Undo {
        /// The epoch of the transition.
        epoch: u64,
    },
    /// Stops waiting for a member until it is heard of again.
    Forget {
        /// The member's name.
        name: String,
    },
    /// Replaces the shared document. Earlier programs ignore this command.
    ReplaceDocument {
        /// The number that must be in force.
        expected: u64,
        /// The new body.
        body: Vec<u8>,
    },
}

/// Why a command is rejected; the state stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// Another version is active than the one that was expected.
    #[error("version {active} is in force")]
    UnexpectedVersion {
        /// The active version.
        active: u64,
    },
    /// A transition is under way.
    #[error("the change to version {to} is under way")]
    TransitionInProgress {
        /// The version that the transition leads to.
        to: u64,
    },
    /// The epoch of the command is not the present one.
    #[error("something else came first: epoch {epoch} holds")]
    StaleEpoch {
        /// The present epoch.
        epoch: u64,
    },
    /// There is no transition to undo.
    #[error("there is nothing to undo")]
    NothingToUndo,
    /// The text is longer than [`MAX_TEXT_BYTES`].
    #[error("it is longer than {MAX_TEXT_BYTES} bytes")]
    TextTooLong,
    /// The shared document has another number than the one that was expected.
    #[error("common document {number} is in force")]
    UnexpectedDocument {
        /// The present number.
        number: u64,
    },
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("it is longer than {MAX_BODY_BYTES} bytes")]
    DocumentTooLong,
}

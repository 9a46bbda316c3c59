//! The shared document: one body of bytes that replaces the previous one at once, without the two transitions of versions.

use crate::command::{CommandError, MAX_BODY_BYTES};
use std::sync::Arc;

/// The document that the log leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SharedDocument {
    /// The number, which rises by one with each replacement; 0 if there is no document.
    pub number: u64,
    /// The bytes of the document.
    pub body: Arc<[u8]>,
    /// Whether the log may lack documents, because a program that does not know them has written it.
    pub has_gap: bool,
}

impl SharedDocument {
    /// Replaces the body if `expected` is the present number. If there is a gap, a higher number tells what was missed: a leader
    /// proposes only with the number in force.
    ///
    /// # Errors
    ///
    /// If the body is too long or the number is another one.
    pub fn replace(&mut self, expected: u64, body: &[u8]) -> Result<u64, CommandError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(CommandError::DocumentTooLong);
        }
        let has_missed = self.has_gap && expected > self.number;
        let next = expected.checked_add(1).filter(|_| expected == self.number || has_missed);
        let Some(number) = next else {
            return Err(CommandError::UnexpectedDocument { number: self.number });
        };
        *self = Self { number, body: body.into(), has_gap: false };
        Ok(number)
    }

    /// Returns what holds after a snapshot with this document has replaced a log that led to `previous`. If a program that does not
    /// know the document has written the snapshot, the previous document is kept.
    pub fn restored_over(self, previous: Self) -> Self {
        if self.has_gap && previous.number > self.number { Self { has_gap: true, ..previous } } else { self }
    }
}

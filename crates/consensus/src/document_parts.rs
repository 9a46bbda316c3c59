//! The encoding of the shared document's body: one part per proposer, with the number at which that part last changed.
//!
//! Parts of a kind that this program does not know are preserved, since a later program has written them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest part, in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// The kinds of parts, each with a proposer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PartKind {
    /// Failover between zones and regions.
    Failover,
    /// Staged rollouts.
    Rollout,
}

impl PartKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Failover, Self::Rollout];

    /// Returns the key of the part within the body.
    pub(crate) fn key(self) -> u8 {
        match self {
            Self::Failover => 1,
            Self::Rollout => 2,
        }
    }

    /// Returns the first byte of messages between proposers. An earlier program takes every message for a [`PeerMessage`], and
    /// must fail to decode these.
    ///
    /// [`PeerMessage`]: crate::messages::PeerMessage
    pub(crate) fn message_prefix(self) -> u8 {
        match self {
            Self::Failover => 0x7f,
            Self::Rollout => 0x7e,
        }
    }
}

/// A committed part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentPart {
    /// The number of the document at which the part last changed; it rises with each change, from 1 on.
    pub number: u64,
    /// The bytes of the part.
    pub body: Arc<[u8]>,
}

/// All parts, as they are encoded in the body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DocumentParts {
    parts: BTreeMap<u8, (u64, Vec<u8>)>,
}

impl DocumentParts {
    /// Decodes a body. Returns `None` if this program can't read it.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        if body.is_empty() { Some(Self::default()) } else { postcard::from_bytes(body).ok() }
    }

    /// Encodes the body.
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Encoding numbers and bytes into memory can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns the number at which a part last changed; 0 if it never did.
    pub(crate) fn number(&self, kind: PartKind) -> u64 {
        self.parts.get(&kind.key()).map_or(0, |(number, _)| *number)
    }

    /// Returns a part, if there is one of this kind.
    pub(crate) fn part(&self, kind: PartKind) -> Option<DocumentPart> {
        let (number, body) = self.parts.get(&kind.key())?;
        Some(DocumentPart { number: *number, body: Arc::from(&body[..]) })
    }

    /// Replaces a part at this number.
    pub(crate) fn with(mut self, kind: PartKind, number: u64, body: Vec<u8>) -> Self {
        self.parts.insert(kind.key(), (number, body));
        self
    }
}

#[cfg(test)]
mod tests;

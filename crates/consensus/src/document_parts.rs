//! What lies in the common document: a part for each of its makers, with the number at which that part last changed.
//!
//! A part that this program does not know is kept as it is: a later one has written it.

use crate::shared_document::DocumentPart;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest part, in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// Who makes a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PartKind {
    /// Zones and regions in common.
    Failover,
    /// Changes in stages.
    Rollout,
}

impl PartKind {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Failover, Self::Rollout];

    pub(crate) fn key(self) -> u8 {
        match self {
            Self::Failover => 1,
            Self::Rollout => 2,
        }
    }

    /// What a message between makers begins with: an earlier program takes every message for one on versions, and must not
    /// understand it.
    pub(crate) fn message_prefix(self) -> u8 {
        match self {
            Self::Failover => 0x7f,
            Self::Rollout => 0x7e,
        }
    }
}

/// The parts, as they lie in the body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DocumentParts {
    parts: BTreeMap<u8, (u64, Vec<u8>)>,
}

impl DocumentParts {
    /// `None`: no shelf that this program can read.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        if body.is_empty() { Some(Self::default()) } else { postcard::from_bytes(body).ok() }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        // Numbers and bytes can always be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The number at which a part last changed; 0 is never.
    pub(crate) fn number(&self, topic: PartKind) -> u64 {
        self.parts.get(&topic.key()).map_or(0, |(number, _)| *number)
    }

    pub(crate) fn part(&self, topic: PartKind) -> Option<DocumentPart> {
        let (number, body) = self.parts.get(&topic.key())?;
        Some(DocumentPart { number: *number, body: Arc::from(&body[..]) })
    }

    /// With another body for a part, at this number.
    pub(crate) fn with(mut self, topic: PartKind, number: u64, body: Vec<u8>) -> Self {
        self.parts.insert(topic.key(), (number, body));
        self
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// A part changes by its own puts alone, whatever else lies there, and what is written is read.
        #[test]
        fn parts_do_not_touch_one_another(puts in prop::collection::vec((any::<bool>(), prop::collection::vec(any::<u8>(), 0..9)), 0..20)) {
            let mut shelf = DocumentParts::default();
            let mut last: BTreeMap<PartKind, (u64, Vec<u8>)> = BTreeMap::new();
            // A part of a later program.
            shelf.parts.insert(9, (1, vec![7]));
            for (n, (places, body)) in puts.into_iter().enumerate() {
                let topic = if places { PartKind::Failover } else { PartKind::Rollout };
                let number = n as u64 + 2;
                shelf = shelf.with(topic, number, body.clone());
                last.insert(topic, (number, body));
                shelf = DocumentParts::decode(&shelf.encode()).unwrap();
                for topic in PartKind::ALL {
                    let (number, body) = last.get(&topic).cloned().unwrap_or_default();
                    prop_assert_eq!(shelf.number(topic), number);
                    prop_assert_eq!(shelf.part(topic).map_or(vec![], |part| part.body.to_vec()), body);
                }
                prop_assert_eq!(&shelf.parts[&9], &(1, vec![7]));
            }
        }

        /// No panic on any bytes.
        #[test]
        fn garbage_is_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = DocumentParts::decode(&bytes).map(|shelf| shelf.part(PartKind::Failover));
        }
    }
}

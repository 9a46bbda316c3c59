//! What a repeat of a request may do, which decides where a retry may go.

use std::time::Duration;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Idempotent,
    /// Upstreams of one group drop a repeat that is sent within `ttl` of the first attempt that may have run.
    Deduplicated {
        /// The upstreams that share the memory of an idempotency key.
        group: DedupGroup,
        /// How long they remember the key.
        ttl: Duration,
    },
    /// The request must never run twice.
    AtMostOnce,
}

impl Effect {
    /// Returns the weakest effect that satisfies both: whatever it allows, each of the two allows.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Idempotent, effect) | (effect, Self::Idempotent) => effect,
            (Self::Deduplicated { group: a, ttl: s }, Self::Deduplicated { group: b, ttl: t }) => {
                let group = match (a, b) {
                    (DedupGroup::All, group) | (group, DedupGroup::All) => group,
                    _ if a == b => a,
                    // A cell and a zone: neither is known to lie within the other.
                    _ => return Self::AtMostOnce,
                };
                Self::Deduplicated { group, ttl: s.min(t) }
            }
            _ => Self::AtMostOnce,
        }
    }
}

/// The upstreams that drop one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

//! Repeat semantics of requests, which determine the upstreams that a retry may go to.

use std::time::Duration;

/// Effect of sending a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Idempotent,
    /// Upstreams of one group drop a repeat that is sent within `ttl` of the first attempt that may have run.
    Deduplicated {
        /// Upstreams that share their record of idempotency keys.
        group: DedupGroup,
        /// Time for which the upstreams remember a key.
        ttl: Duration,
    },
    /// The request must never run twice.
    AtMostOnce,
}

impl Effect {
    /// Returns the weakest effect at least as strict as both: it allows only what both allow.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Idempotent, effect) | (effect, Self::Idempotent) => effect,
            (Self::Deduplicated { group: a, ttl: s }, Self::Deduplicated { group: b, ttl: t }) => {
                let group = match (a, b) {
                    (DedupGroup::All, group) | (group, DedupGroup::All) => group,
                    _ if a == b => a,
                    // A cell and a zone: neither is known to contain the other.
                    _ => return Self::AtMostOnce,
                };
                Self::Deduplicated { group, ttl: s.min(t) }
            }
            _ => Self::AtMostOnce,
        }
    }
}

/// Upstreams that recognize each other's idempotency keys and drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All upstreams.
    All,
    /// Upstreams of one zone.
    Zone,
    /// Upstreams of one cell.
    Cell,
}

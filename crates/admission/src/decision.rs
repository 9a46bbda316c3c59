//! Decisions on connections, as the embedder carries them out.

use crate::rejection::Rejection;

/// Identifies a connection that was admitted. It is not given again to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The connection is admitted.
    Admitted {
        /// Its identity in all later events.
        id: ConnectionId,
        /// Another connection, which the embedder has to close to make room.
        evicted: Option<ConnectionId>,
    },
    /// The connection is rejected.
    Rejected(Rejection),
}

/// The decision on connections once a response has been sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseDecision {
    /// Whether the connection closes with its response: its tenant holds more than its share, or the capacity has fallen.
    pub should_close: bool,
    /// Another connection, which the embedder has to close: more are idle than are kept alive.
    pub evicted: Option<ConnectionId>,
}

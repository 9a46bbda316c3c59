//! Connections on which nothing has been received yet. They hold a descriptor but no part of the capacity, which belongs to
//! connections whose request is here: a silent connection takes its place with its first byte.

use std::collections::BTreeMap;
use std::time::Duration;

/// Names a silent connection for as long as it is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SilentId(u64);

/// What has to close for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// Nothing: there is a descriptor.
    Free,
    /// This silent connection.
    Silent(SilentId),
    /// A connection that has been idle for long, if there is one, or else this silent one, whose request may be on its way.
    IdleOr(SilentId),
    /// Nothing: none is silent, and a place is found with the first byte.
    Taken,
}

/// The silent connections, oldest first.
#[derive(Debug, Default)]
pub struct SilentConnections {
    opened_at: BTreeMap<SilentId, Duration>,
    next_id: u64,
}

impl SilentConnections {
    /// Adds a connection that was opened at `now`.
    pub fn insert(&mut self, now: Duration) -> SilentId {
        let id = SilentId(self.next_id);
        self.next_id += 1;
        self.opened_at.insert(id, now);
        id
    }

    /// Removes a connection that has sent its first byte or has closed.
    pub fn remove(&mut self, id: SilentId) {
        self.opened_at.remove(&id);
    }

    /// The number of silent connections.
    pub fn len(&self) -> usize {
        self.opened_at.len()
    }

    /// Whether there is no silent connection.
    pub fn is_empty(&self) -> bool {
        self.opened_at.is_empty()
    }

    /// The connection that has been silent for longest.
    pub fn oldest(&self) -> Option<SilentId> {
        self.opened_at.first_key_value().map(|(id, _)| *id)
    }

    /// Finds room for a new connection beside `admitted` others, within `limit` descriptors. The first bytes of a connection
    /// usually come within `prompt`.
    pub fn room(&self, now: Duration, admitted: usize, limit: usize, prompt: Duration) -> Room {
        if self.len() + admitted < limit {
            return Room::Free;
        }
        match self.opened_at.first_key_value() {
            Some((id, opened_at)) if now.saturating_sub(*opened_at) > prompt => Room::Silent(*id),
            Some((id, _)) => Room::IdleOr(*id),
            None => Room::Taken,
        }
    }
}

#[cfg(test)]
mod tests;

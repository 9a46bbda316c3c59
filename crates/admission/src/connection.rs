//! What is remembered of one connection, and the lists that it is in.

use crate::linked_list::{Link, LinkStore};
use std::time::Duration;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The slot is not in use.
    Free,
    /// Nothing has been received.
    NoData,
    /// A part of a request has been received, at one moment.
    PartialRequest,
    /// Parts of a request have been received one after another, the last of them when this state was entered.
    ReceivingRequest,
    /// It has had responses, but has never sent a valid request.
    HealthChecksOnly,
    /// A request is in flight.
    InFlight,
    /// It is between two requests.
    Idle,
    /// It was evicted and is not closed yet.
    Evicted,
}

/// The number of lists of connections that may be evicted, one for each state.
pub const EVICTION_LISTS: usize = 5;
/// The list of idle connections.
pub const IDLE_LIST: usize = EVICTION_LISTS - 1;

impl ConnectionState {
    /// The list that connections of this state are in; `None` if they can't be evicted.
    pub fn eviction_list(self) -> Option<usize> {
        match self {
            Self::NoData => Some(0),
            Self::PartialRequest => Some(1),
            Self::ReceivingRequest => Some(2),
            Self::HealthChecksOnly => Some(3),
            Self::Idle => Some(IDLE_LIST),
            Self::Free | Self::InFlight | Self::Evicted => None,
        }
    }
}

/// One connection.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Distinguishes the connections that have used this slot.
    pub generation: u32,
    /// How far it has come.
    pub state: ConnectionState,
    /// When it entered its state.
    pub since: Duration,
    /// Whether its client is known.
    pub is_known: bool,
    /// Whether it has ever sent a valid request.
    pub is_proven: bool,
    /// Whether limits of addresses and prefixes do not apply to it.
    pub is_exempt: bool,
    /// The tenant of its last request.
    pub tenant: Option<u32>,
    /// The entry of its address.
    pub address: u32,
    /// The entry of its prefix.
    pub prefix: u32,
    /// Its links, one of each [`LinkKind`].
    pub links: [Link; 3],
}

/// The kinds of lists that a connection may be in, one of each kind at a time.
#[derive(Clone, Copy, Debug)]
pub enum LinkKind {
    /// The list of its state.
    State,
    /// The unproven connections of its address.
    Address,
    /// The unproven connections of its prefix.
    Prefix,
}

/// The links of one kind of all connections.
pub struct ConnectionLinks<'a> {
    /// The connections, by slot.
    pub connections: &'a mut [Connection],
    /// The kind of the links.
    pub kind: LinkKind,
}

impl LinkStore for ConnectionLinks<'_> {
    fn link(&mut self, entry: u32) -> &mut Link {
        &mut self.connections[entry as usize].links[self.kind as usize]
    }
}

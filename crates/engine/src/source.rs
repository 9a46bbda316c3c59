//! Where the list of upstreams comes from. Every kind of discovery stands behind [`Source`].

pub use crate::parts::upstream::EndpointState;
use maplehook_core::{Availability, CellId, KindId, UpdateScope, UpstreamId, ZoneId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;

/// An upstream as listed, for the library and for the connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, made of its uid alone: the same at every balancer, and wherever it listens.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its weight.
    pub weight: f64,
    /// Where it is, and how it stands.
    pub state: EndpointState,
}

/// Update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// How complete it is.
    pub scope: UpdateScope,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl EndpointUpdate {
    /// That nothing has changed, in answer to a call.
    pub fn unchanged() -> Self {
        Self { scope: UpdateScope::Changes, entries: Vec::new() }
    }

    /// That a call failed or a watch ended.
    pub fn failed() -> Self {
        Self { scope: UpdateScope::Failed, entries: Vec::new() }
    }
}

/// What a source does, on the engine's own thread.
pub type Task<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A source of the list. It is asked when the decision module wants the list, and asked again, after a while,
/// when it has failed; it keeps no time of its own for that. What bounds a call and a watch stands in
/// [`maplehook_core::discovery_timing`].
pub trait Source {
    /// The whole list, or [`EndpointUpdate::failed`].
    fn fetch(&self) -> Task<'_, EndpointUpdate>;

    /// Follows the list until that fails, and tells what comes; the last word is [`EndpointUpdate::failed`].
    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()>;

    /// What passes on the sockets says more of an upstream than its absence from a list.
    fn record_reachability(&self, _upstream: UpstreamId, _heard: Reachability) {}

    /// When the list was last known to be what its origin says, with all of that told; `None`: never, or nobody can say.
    fn confirmed(&self) -> Option<Instant> {
        None
    }
}

/// What an attempt says of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It has answered.
    Answered,
    /// No connection to it could be made.
    Unreachable,
}

/// A list that never changes.
#[derive(Clone, Debug, Default)]
pub struct Fixed(Vec<Entry>);

impl Fixed {
    /// Upstreams that are ready, by name and address, all alike.
    pub fn new<'a>(upstreams: impl IntoIterator<Item = (&'a str, SocketAddr)>) -> Self {
        Self::listed(upstreams.into_iter().map(|(name, address)| (name, address, ZoneId(0), 1.0, false)))
    }

    /// The same, each with its zone, its weight, and whether it drains.
    pub fn listed<'a>(upstreams: impl IntoIterator<Item = (&'a str, SocketAddr, ZoneId, f64, bool)>) -> Self {
        let entry = |(name, address, zone, weight, drained): (&str, SocketAddr, ZoneId, f64, bool)| Entry {
            id: stable_id(name),
            zone,
            kind: KindId(0),
            cell: CellId(0),
            weight,
            state: EndpointState {
                endpoint: Some(address),
                availability: if drained { Availability::Draining } else { Availability::Ready },
                boot_ms: 0,
            },
        };
        Self(upstreams.into_iter().map(entry).collect())
    }

    /// Its entries.
    pub fn into_entries(self) -> Vec<Entry> {
        self.0
    }

    /// The list.
    pub fn full_update(&self) -> EndpointUpdate {
        EndpointUpdate { scope: UpdateScope::Full, entries: self.0.clone() }
    }
}

impl Source for Fixed {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(std::future::ready(self.full_update()))
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        tell(self.full_update());
        Box::pin(std::future::pending())
    }

    fn confirmed(&self) -> Option<Instant> {
        Some(Instant::now())
    }
}

/// FNV-1a: an id that no process, build or machine sees differently.
pub fn stable_id(uid: &str) -> UpstreamId {
    UpstreamId(uid.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

//! Sources of the endpoint list. Every discovery mechanism implements [`Source`].

pub use crate::parts::upstream::EndpointState;
use maplehook_core::{Availability, CellId, KindId, UpdateScope, UpstreamId, ZoneId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;

/// Entry of the endpoint list: one upstream with its balancing attributes and connection state.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id derived only from the uid: the same at every balancer and for every address of the upstream.
    pub id: UpstreamId,
    /// Zone that the upstream runs in.
    pub zone: ZoneId,
    /// Hardware kind; upstreams of one kind have equal hardware.
    pub kind: KindId,
    /// Cell, whose upstreams share their record of idempotency keys.
    pub cell: CellId,
    /// Relative capacity for weighted balancing.
    pub weight: f64,
    /// Address, availability and boot time.
    pub state: EndpointState,
}

/// Update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Completeness of `entries`: the full list, changes only, or a failure.
    pub scope: UpdateScope,
    /// Listed upstreams; empty if the update failed.
    pub entries: Vec<Entry>,
}

impl EndpointUpdate {
    /// Returns the result of a fetch that found no change.
    pub fn unchanged() -> Self {
        Self { scope: UpdateScope::Changes, entries: Vec::new() }
    }

    /// Returns the update for a failed fetch or an ended watch.
    pub fn failed() -> Self {
        Self { scope: UpdateScope::Failed, entries: Vec::new() }
    }
}

/// Future of a source. It runs on the engine's thread.
pub type Task<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A source of the endpoint list. The decision core requests a fetch when it needs the list and schedules the
/// retries after a failure, so that a source needs no retry timers. [`maplehook_core::discovery_timing`]
/// defines the time limits of fetches and watches.
pub trait Source {
    /// Fetches the complete list, or returns [`EndpointUpdate::failed`].
    fn fetch(&self) -> Task<'_, EndpointUpdate>;

    /// Watches the list and calls `on_update` with each update. When the watch fails, the last update is
    /// [`EndpointUpdate::failed`].
    fn watch<'a>(&'a self, on_update: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()>;

    /// Records the result of an attempt. A working connection is stronger evidence about an upstream than its
    /// absence from a list.
    fn record_reachability(&self, _upstream: UpstreamId, _reachability: Reachability) {}

    /// Returns the last time when all updates had been delivered and the list matched its origin, or `None`
    /// if that never happened or is unknown.
    fn confirmed(&self) -> Option<Instant> {
        None
    }
}

/// Reachability of an upstream, as seen by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The upstream answered.
    Answered,
    /// No connection to the upstream could be established.
    Unreachable,
}

/// An endpoint list that never changes.
#[derive(Clone, Debug, Default)]
pub struct Fixed(Vec<Entry>);

impl Fixed {
    /// Creates a list of ready upstreams from names and addresses. All are in zone 0 with weight 1.
    pub fn new<'a>(upstreams: impl IntoIterator<Item = (&'a str, SocketAddr)>) -> Self {
        Self::listed(upstreams.into_iter().map(|(name, address)| (name, address, ZoneId(0), 1.0, false)))
    }

    /// Creates a list from tuples of name, address, zone, weight and a flag that marks draining upstreams.
    pub fn listed<'a>(upstreams: impl IntoIterator<Item = (&'a str, SocketAddr, ZoneId, f64, bool)>) -> Self {
        let entry =
            |(name, address, zone, weight, is_draining): (&str, SocketAddr, ZoneId, f64, bool)| Entry {
                id: stable_id(name),
                zone,
                kind: KindId(0),
                cell: CellId(0),
                weight,
                state: EndpointState {
                    endpoint: Some(address),
                    availability: if is_draining { Availability::Draining } else { Availability::Ready },
                    boot_ms: 0,
                },
            };
        Self(upstreams.into_iter().map(entry).collect())
    }

    /// Returns the entries of the list.
    pub fn into_entries(self) -> Vec<Entry> {
        self.0
    }

    /// Returns an update that contains the complete list.
    pub fn full_update(&self) -> EndpointUpdate {
        EndpointUpdate { scope: UpdateScope::Full, entries: self.0.clone() }
    }
}

impl Source for Fixed {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(std::future::ready(self.full_update()))
    }

    fn watch<'a>(&'a self, on_update: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        on_update(self.full_update());
        Box::pin(std::future::pending())
    }

    fn confirmed(&self) -> Option<Instant> {
        Some(Instant::now())
    }
}

/// Returns the FNV-1a hash of the uid, which is the same in every process, build and machine.
pub fn stable_id(uid: &str) -> UpstreamId {
    UpstreamId(uid.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

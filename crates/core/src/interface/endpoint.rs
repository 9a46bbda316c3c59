//! Endpoints: upstreams as discovery lists them.

use super::{CellId, KindId, UpstreamId, ZoneId};
use std::time::Duration;

/// Readiness of an endpoint for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint finishes its requests in flight and takes no new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// One upstream as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique id, stable across updates.
    pub id: UpstreamId,
    /// Zone that the upstream runs in.
    pub zone: ZoneId,
    /// Hardware kind of the upstream.
    pub kind: KindId,
    /// Cell that the upstream belongs to.
    pub cell: CellId,
    /// Readiness for requests.
    pub availability: Availability,
    /// Listed weight; [`Settings::weights`](crate::Settings::weights) defines its meaning.
    pub weight: f64,
    /// Time of the last process start, if recent.
    pub started: Option<Duration>,
}

/// Completeness of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only the endpoints that changed.
    Changes,
    /// The complete list; an endpoint missing from it has been removed.
    Full,
    /// The complete list that this balancer last cached; it may be out of date.
    Cached,
    /// No list: a call failed or the watch broke, and the previous list stays in force.
    Failed,
}

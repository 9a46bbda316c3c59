//! Endpoints: the upstreams as discovery lists them.

use super::{CellId, KindId, UpstreamId, ZoneId};
use std::time::Duration;

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint finishes the requests it has; no new ones go there.
    Draining,
    /// The endpoint exists no longer.
    Removed,
}

/// One upstream as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The zone it runs in.
    pub zone: ZoneId,
    /// Its hardware kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes requests.
    pub availability: Availability,
    /// Its listed weight; [`Settings::weights`](crate::Settings::weights) says what the weight means.
    pub weight: f64,
    /// When its process last started, if that was not long ago.
    pub started: Option<Duration>,
}

/// How complete an endpoint update is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only the endpoints that changed.
    Changes,
    /// The whole list; an endpoint that is missing has been removed.
    Full,
    /// The whole list as this balancer last held it, perhaps out of date.
    Cached,
    /// A call failed or the watch broke; the list held before stays in force.
    Failed,
}

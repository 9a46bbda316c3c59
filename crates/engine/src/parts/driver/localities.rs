//! Traffic splits for the decision module, and locality observations of this balancer.

use super::{Driver, DriverEvent};
use maplehook_core::{GroupObservation, TrafficSplit, TrafficSplitError, ZoneId, ZoneObservation};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Observations of zones and request groups. Counters start with the process and never reset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Zones with a listed upstream or past traffic.
    pub zones: Vec<ZoneObservation>,
    /// Groups of the active traffic split, by position; empty without a split.
    pub groups: Vec<GroupObservation>,
    /// Connection statistics of zones to which a connection was made.
    pub connects: Vec<(ZoneId, ConnectStats)>,
}

/// Statistics of connections made to the upstreams of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectStats {
    /// Number of connections made.
    pub count: u64,
    /// Sum of the connection setup times.
    pub total_time: Duration,
}

impl Driver {
    /// Sets the zones that each request group is sent to; see
    /// [`Event::TrafficSplit`](maplehook_core::Event::TrafficSplit).
    pub fn set_traffic_split(self: &Rc<Self>, split: Option<TrafficSplit>) -> Result<(), TrafficSplitError> {
        split.as_ref().map_or(Ok(()), TrafficSplit::check)?;
        self.handle_event(DriverEvent::TrafficSplitChanged(split.map(Box::new)));
        Ok(())
    }

    /// Returns the current observations. Iterates over the fleet, so it is meant for occasional reports.
    pub fn observations(&self) -> Observations {
        let core = self.core.borrow();
        Observations {
            zones: core.balancer.zone_observations(self.clock.now()),
            groups: core.balancer.group_observations().to_vec(),
            connects: self.upstreams.connect_stats(),
        }
    }

    /// Returns the addresses of upstreams that accept requests, sorted, at most `max_per_zone` of each zone,
    /// whichever source listed them. Iterates over the fleet.
    pub fn endpoints(&self, max_per_zone: usize) -> Vec<(ZoneId, SocketAddr)> {
        let mut all = self.upstreams.endpoints();
        all.sort_unstable_by_key(|(zone, address)| (zone.0, *address));
        all.dedup();
        let mut zone_count = (0, 0);
        all.retain(|(zone, _)| {
            zone_count = if zone_count.0 == zone.0 { (zone.0, zone_count.1 + 1) } else { (zone.0, 1) };
            zone_count.1 <= max_per_zone
        });
        all
    }
}

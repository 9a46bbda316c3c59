//! TrafficSplit for the module, and what is seen of zones from here.

use super::{Driver, Happening};
use maplehook_core::{GroupObservation, TrafficSplit, TrafficSplitError, ZoneId, ZoneObservation};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What is seen of zones and groups of requests. Counters go on from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Each zone of which an upstream is listed, or to which anything was sent.
    pub zones: Vec<ZoneObservation>,
    /// Each group of the shares in force, by position; none without shares.
    pub groups: Vec<GroupObservation>,
    /// Connections by zone, where any was made.
    pub connects: Vec<(ZoneId, ConnectStats)>,
}

/// Connections that were made to the upstreams of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectStats {
    /// How many.
    pub count: u64,
    /// How long they took together.
    pub total_time: Duration,
}

impl Driver {
    /// Which zones each group of requests goes to from now on; see [`Event::TrafficSplit`](maplehook_core::Event::TrafficSplit).
    pub fn set_traffic_split(self: &Rc<Self>, shares: Option<TrafficSplit>) -> Result<(), TrafficSplitError> {
        shares.as_ref().map_or(Ok(()), TrafficSplit::check)?;
        self.happened(Happening::Shared(shares.map(Box::new)));
        Ok(())
    }

    /// What is seen now. One look over the fleet: for a report now and then.
    pub fn observations(&self) -> Observations {
        let core = self.core.borrow();
        Observations {
            zones: core.balancer.zone_observations(self.clock.now()),
            groups: core.balancer.group_observations().to_vec(),
            connects: self.upstreams.connects(),
        }
    }

    /// Where upstreams listen that may be sent to, whichever source listed them, in order; no more than so many of each zone.
    /// One look over the fleet, too.
    pub fn endpoints(&self, most: usize) -> Vec<(ZoneId, SocketAddr)> {
        let mut all = self.upstreams.endpoints();
        all.sort_unstable_by_key(|(zone, address)| (zone.0, *address));
        all.dedup();
        let mut of_zone = (0, 0);
        all.retain(|(zone, _)| {
            of_zone = if of_zone.0 == zone.0 { (zone.0, of_zone.1 + 1) } else { (zone.0, 1) };
            of_zone.1 <= most
        });
        all
    }
}

//! Shares for the module, and what is seen of zones from here.

use super::{Driver, Happening};
use lapisroute::{GroupSight, Shares, SharesError, ZoneId, ZoneSight};
use std::rc::Rc;
use std::time::Duration;

/// What is seen of zones and groups of requests. Counters go on from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sights {
    /// Each zone of which an upstream is listed, or to which anything was sent.
    pub zones: Vec<ZoneSight>,
    /// Each group of the shares in force, by position; none without shares.
    pub groups: Vec<GroupSight>,
    /// Connections by zone, where any was made.
    pub connects: Vec<(ZoneId, Connects)>,
}

/// Connections that were made to the upstreams of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connects {
    /// How many.
    pub made: u64,
    /// How long they took together.
    pub took: Duration,
}

impl Driver {
    /// Which zones each group of requests goes to from now on; see [`Event::Shares`](lapisroute::Event::Shares).
    pub fn share(self: &Rc<Self>, shares: Option<Shares>) -> Result<(), SharesError> {
        shares.as_ref().map_or(Ok(()), Shares::check)?;
        self.happened(Happening::Shared(shares.map(Box::new)));
        Ok(())
    }

    /// What is seen now. One look over the fleet: for a report now and then.
    pub fn sights(&self) -> Sights {
        let core = self.core.borrow();
        Sights {
            zones: core.balancer.sights(self.clock.now()),
            groups: core.balancer.group_sights().to_vec(),
            connects: self.upstreams.connects(),
        }
    }
}

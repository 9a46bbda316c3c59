//! Combines the evidence about zones from requests and from probes.

use crate::rates::CounterSnapshot;
use crate::runner::Runner;
use maplehook_failover::{Demand, ZoneObservation};
use std::sync::Arc;

impl Runner {
    /// Records a counter snapshot and updates the probe targets.
    pub(crate) fn saw(&mut self, seen: CounterSnapshot) {
        if let Some(config) = self.config().filter(|config| config.digest == seen.digest)
            && self.aims.as_ref() != Some(&seen.upstreams)
        {
            self.prober.aim(config.own_zone, &seen.upstreams);
            self.aims = Some(Arc::clone(&seen.upstreams));
        }
        self.window.push(seen);
    }

    /// Returns the observations by zone and the demand by rule.
    pub(crate) fn sights(&self) -> (Vec<ZoneObservation>, Vec<Demand>) {
        let (mut sights, demand) = self.window.rates();
        self.prober.add(&mut sights);
        (sights, demand)
    }
}

//! What is seen of zones: by requests, and by probes of what is listed.

use crate::rates::CounterSnapshot;
use crate::runner::Runner;
use maplehook_failover::{Demand, ZoneObservation};
use std::sync::Arc;

impl Runner {
    /// Another look at what is sent and listed.
    pub(crate) fn saw(&mut self, seen: CounterSnapshot) {
        if let Some(config) = self.config().filter(|config| config.digest == seen.digest)
            && self.aims.as_ref() != Some(&seen.upstreams)
        {
            self.prober.aim(config.own_zone, &seen.upstreams);
            self.aims = Some(Arc::clone(&seen.upstreams));
        }
        self.window.push(seen);
    }

    /// What is seen of zones and asked for by rules, by requests and by probes.
    pub(crate) fn sights(&self) -> (Vec<ZoneObservation>, Vec<Demand>) {
        let (mut sights, demand) = self.window.rates();
        self.prober.add(&mut sights);
        (sights, demand)
    }
}

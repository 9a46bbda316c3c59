//! Combines the evidence about zones from requests and from probes.

use crate::rates::CounterSnapshot;
use crate::runner::Runner;
use maplehook_failover::{Demand, ZoneObservation};
use std::sync::Arc;

impl Runner {
    /// Records a counter snapshot and updates the probe targets.
    pub(crate) fn record_snapshot(&mut self, snapshot: CounterSnapshot) {
        if let Some(config) = self.config().filter(|config| config.digest == snapshot.digest)
            && self.probed_endpoints.as_ref() != Some(&snapshot.upstreams)
        {
            self.prober.set_targets(config.own_zone, &snapshot.upstreams);
            self.probed_endpoints = Some(Arc::clone(&snapshot.upstreams));
        }
        self.window.push(snapshot);
    }

    /// Returns the observations by zone and the demand by rule.
    pub(crate) fn observations(&self) -> (Vec<ZoneObservation>, Vec<Demand>) {
        let (mut observations, demand) = self.window.rates();
        self.prober.merge_into(&mut observations);
        (observations, demand)
    }
}

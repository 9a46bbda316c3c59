//! Reports of the observed zones and groups; no decisions.

use crate::observations::{GroupObservation, Observations, ZoneObservation};
use crate::slow_start::slow_start_share;
use crate::state::Balancer;
use crate::upstream::Upstream;
use std::time::Duration;

impl Balancer {
    /// Returns the observation of each zone with a listed upstream or a sent attempt, ordered by zone. Visits
    /// every upstream, so it suits periodic reports, not every request.
    pub fn zone_observations(&self, now: Duration) -> Vec<ZoneObservation> {
        let now = now.as_secs_f64().max(self.now_s);
        let mut zones = [const { None }; 256];
        for observation in self.observations.used_zones(now) {
            let position = usize::from(observation.zone.0);
            zones[position] = Some(observation);
        }
        let shares: f64 = self.classes.iter().map(|c| c.admitted_share).sum();
        for upstream in &self.upstreams {
            let zone = &mut zones[usize::from(upstream.zone.0)];
            let observation = zone.get_or_insert_with(|| Observations::unused_zone(upstream.zone, now));
            self.add_upstream_weights(observation, upstream, shares, now);
        }
        zones.into_iter().flatten().collect()
    }

    fn add_upstream_weights(&self, zone: &mut ZoneObservation, upstream: &Upstream, shares: f64, now: f64) {
        zone.in_flight += u64::from(upstream.in_flight);
        if !upstream.is_ready {
            return;
        }
        zone.listed_weight += upstream.size;
        if upstream.is_ejected(now) {
            return;
        }
        // An upstream ejected for one class still serves the others.
        let ejected = upstream.health.iter().zip(&self.classes).filter(|(h, _)| h.is_ejected);
        let usable = 1.0 - ejected.map(|(_, class)| class.admitted_share).sum::<f64>() / shares.max(1e-9);
        let warm_share = slow_start_share(&self.settings, now, upstream);
        zone.usable_weight += upstream.size * warm_share * usable.max(0.0);
        zone.warming_weight += upstream.size * (1.0 - warm_share);
    }

    /// Returns the counters of each group of the traffic split in force, by position.
    pub fn group_observations(&self) -> &[GroupObservation] {
        self.observations.groups()
    }
}

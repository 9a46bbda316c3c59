//! Share of each region's demand that the agreed plan serves. Announcements of shared addresses depend on it.

use crate::bounds::Bounds;
use crate::decider::Decider;
use crate::document::FULL_SHARE;
use crate::priorities::zones_in;
use maplehook_locality::{Region, Zone};

impl Decider {
    /// Replaces the limits.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Returns the shares of a region's demand that the agreed plan serves with the current capacities: in
    /// any zone, and in the region's own zones. Without demand, both are 1 if the region has usable capacity
    /// and 0 otherwise.
    pub fn served(&self, region: Region) -> (f64, f64) {
        let usable = |zone: usize| self.observed.capacities.get(zone).map_or(0.0, |capacity| capacity.usable);
        let mut assigned = vec![0.0; self.observed.capacities.len()];
        let mut flows = Vec::new();
        for (&(rule, from), &rate) in &self.observed.demand {
            for (zone, share) in self.rule_shares(rule, from) {
                if let Some(assigned) = assigned.get_mut(zone) {
                    *assigned += rate * share;
                }
                flows.push((from, zone, rate * share));
            }
        }
        // Requests above the capacity of a zone are not served.
        let served_fraction = |zone: usize| {
            if assigned[zone] > 0.0 { (usable(zone) / assigned[zone]).min(1.0) } else { 1.0 }
        };
        let region_of = |zone: usize| self.topology.region_of(Zone(zone as u16));
        let is_in_region = |from: &Zone| self.topology.region_of(*from) == region;
        let demand: f64 = self
            .observed
            .demand
            .iter()
            .filter(|((_, from), _)| is_in_region(from))
            .map(|(_, rate)| rate)
            .sum();
        if demand <= 0.0 {
            let any = self.topology.zones_of(region).iter().any(|zone| usable(usize::from(zone.0)) > 0.0);
            let share = f64::from(u8::from(any));
            return (share, share);
        }
        let (mut served, mut local) = (0.0, 0.0);
        for (_, zone, flow) in
            flows.iter().filter(|(from, zone, _)| is_in_region(from) && *zone < assigned.len())
        {
            let served_rate = flow * served_fraction(*zone);
            served += served_rate;
            local += if region_of(*zone) == region { served_rate } else { 0.0 };
        }
        (served / demand, local / demand)
    }

    /// Returns the zones and shares for the requests of a rule in a source zone, by the agreed plan.
    fn rule_shares(&self, rule: u16, from: Zone) -> Vec<(usize, f64)> {
        if let Some(row) = self.agreed.plan.row(rule, from) {
            let part = |part: u16| f64::from(part) / f64::from(FULL_SHARE);
            return row.to.iter().map(|share| (usize::from(share.zone.0), part(share.part))).collect();
        }
        let first_step =
            self.priorities.list_index(rule, from).and_then(|n| self.priorities.lists[n].steps.first());
        let usable = |zone: usize| self.observed.capacities.get(zone).map_or(0.0, |capacity| capacity.usable);
        let step: Vec<usize> = zones_in(first_step.copied().unwrap_or(0)).collect();
        let total: f64 = step.iter().map(|zone| usable(*zone)).sum();
        let even_share = 1.0 / step.len().max(1) as f64;
        step.iter()
            .map(|zone| (*zone, if total > 0.0 { usable(*zone) / total } else { even_share }))
            .collect()
    }
}

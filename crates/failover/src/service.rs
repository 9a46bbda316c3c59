//! How well each region is served by the plan that stands: what shared addresses go by.

use crate::bounds::Bounds;
use crate::decider::Decider;
use crate::document::FULL_SHARE;
use crate::priorities::each;
use maplehook_locality::{Region, Zone};

impl Decider {
    /// Other bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Shares of a region's demand that are served by the plan that stands, with what can be used now: all told, and in its own
    /// zones. Where nothing is asked for, whether its own zones could serve anything.
    pub fn served(&self, region: Region) -> (f64, f64) {
        let usable = |zone: usize| self.situation.rooms.get(zone).map_or(0.0, |room| room.usable);
        let mut given = vec![0.0; self.situation.rooms.len()];
        let mut flows = Vec::new();
        for (&(rule, from), &asked) in &self.situation.demand {
            for (zone, share) in self.goes(rule, from) {
                if let Some(given) = given.get_mut(zone) {
                    *given += asked * share;
                }
                flows.push((from, zone, asked * share));
            }
        }
        // What a zone is given beyond what it can take is not served there.
        let part = |zone: usize| {
            if given[zone] > 0.0 { (usable(zone) / given[zone]).min(1.0) } else { 1.0 }
        };
        let region_of = |zone: usize| self.topology.region_of(Zone(zone as u16));
        let of_it = |from: &Zone| self.topology.region_of(*from) == region;
        let asked: f64 =
            self.situation.demand.iter().filter(|((_, from), _)| of_it(from)).map(|(_, asked)| asked).sum();
        if asked <= 0.0 {
            let any = self.topology.zones_of(region).iter().any(|zone| usable(usize::from(zone.0)) > 0.0);
            let whole = f64::from(u8::from(any));
            return (whole, whole);
        }
        let (mut served, mut near) = (0.0, 0.0);
        for (_, zone, flow) in flows.iter().filter(|(from, zone, _)| of_it(from) && *zone < given.len()) {
            let well = flow * part(*zone);
            served += well;
            near += if region_of(*zone) == region { well } else { 0.0 };
        }
        (served / asked, near / asked)
    }

    /// Where a rule's requests of a zone go by the plan that stands, in parts of all.
    fn goes(&self, rule: u16, from: Zone) -> Vec<(usize, f64)> {
        if let Some(row) = self.agreed.plan.row(rule, from) {
            let part = |part: u16| f64::from(part) / f64::from(FULL_SHARE);
            return row.to.iter().map(|share| (usize::from(share.zone.0), part(share.part))).collect();
        }
        let first =
            self.priorities.list_index(rule, from).and_then(|n| self.priorities.lists[n].steps.first());
        let usable = |zone: usize| self.situation.rooms.get(zone).map_or(0.0, |room| room.usable);
        let step: Vec<usize> = each(first.copied().unwrap_or(0)).collect();
        let all: f64 = step.iter().map(|zone| usable(*zone)).sum();
        let even = 1.0 / step.len().max(1) as f64;
        step.iter().map(|zone| (*zone, if all > 0.0 { usable(*zone) / all } else { even })).collect()
    }
}

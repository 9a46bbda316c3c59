//! Routing of requests to zones by the traffic split in force. The plan sets the share of each zone, and the
//! balancer only follows it. Without a split, one rotation covers all zones.

use crate::interface::*;
use crate::request::Request;
use crate::rotation::Rotation;
use crate::split_table::SplitTable;
use crate::state::Balancer;
use crate::upstream::Upstream;

/// Distance added for a zone outside the region.
const OUTSIDE_REGION_DISTANCE: u8 = 4;

impl Balancer {
    /// Activates another split, or none. An invalid split is ignored.
    pub(crate) fn set_split(&mut self, split: Option<&TrafficSplit>) {
        if split.map_or(self.split.is_none(), |s| s.check().is_err()) {
            return;
        }
        let previous_split = self.split.take();
        self.observations.resize_groups(split.map_or(0, |s| s.rows.len()));
        let zone = self.settings.zone;
        self.split = split.map(|s| Box::new(SplitTable::new(s, zone, previous_split.as_deref())));
        let previous_weight = self.totals.weight;
        match (&previous_split, &mut self.split) {
            // The reached zones are unchanged, so the rotations keep their positions.
            (Some(old), Some(new)) if (0..=255).map(ZoneId).all(|z| old.reaches(z) == new.reaches(z)) => {
                new.rotation_by_zone = old.rotation_by_zone;
                self.refresh_all_weights();
            }
            _ => self.choose_subset(),
        }
        // Completions in zones that are no longer reached say nothing about the remaining ones: counting them
        // would make `W` promise capacity that those zones don't have.
        self.throughput.per_second *= (self.totals.weight / previous_weight.max(1e-9)).min(1.0);
    }

    /// Takes a slot for an admitted request and returns its upstream.
    pub(crate) fn take_slot(&mut self, class: usize, tenant: usize) -> Option<usize> {
        let Some(mut split) = self.split.take() else { return self.next_slot(class, 0) };
        let slot = self.take_slot_by_split(&mut split, class, tenant);
        self.split = Some(split);
        slot
    }

    /// Chooses a destination by smooth weighted round robin: the highest credit goes first. A zone without a
    /// slot, or one that may not be entered, passes its credit on to the other zones.
    fn take_slot_by_split(&mut self, split: &mut SplitTable, class: usize, tenant: usize) -> Option<usize> {
        let row = split.row(class, tenant);
        split.rows[row].record_request();
        let mut tried = 0u128;
        loop {
            let chosen_index = split.rows[row].most_credited_destination(tried)?;
            let Some(zone) = split.rows[row].destinations[chosen_index].zone else {
                split.rows[row].destinations[chosen_index].credit -= 1.0;
                return None;
            };
            if split.rows[row].may_send_first_attempt(zone)
                && let Some(slot) = self.next_slot(class, split.rotation(zone))
            {
                split.rows[row].destinations[chosen_index].credit -= 1.0;
                return Some(slot);
            }
            tried |= 1 << chosen_index;
            if !split.rows[row].redistribute_credit(chosen_index, tried) {
                return None;
            }
        }
    }

    /// Returns the distance of an upstream for a retry of a request; `None` if the retry may not go there.
    pub(crate) fn retry_distance(&self, request: &Request, upstream: &Upstream) -> Option<u8> {
        let is_other_zone = u8::from(upstream.zone != self.settings.zone);
        let Some(split) = &self.split else { return Some(is_other_zone) };
        let group = &split.rows[split.row(request.class, request.tenant)];
        let is_outside = u8::from(!group.region.contains(upstream.zone));
        group
            .may_send_retry(upstream.zone, request)
            .then_some(is_other_zone + OUTSIDE_REGION_DISTANCE * is_outside)
    }

    /// Divides the subset into rotations: with a split one per zone, nearest zones first.
    pub(crate) fn divide_into_rotations(&mut self) {
        self.rotations.clear();
        let Some(split) = &mut self.split else {
            self.rotations.push(Rotation { len: self.subset.len(), ..Rotation::default() });
            return;
        };
        let (upstreams, local_zone, region) = (&self.upstreams, self.settings.zone, split.rows[0].region);
        self.subset.sort_by_key(|index| {
            let zone = upstreams[*index].zone;
            (zone != local_zone, !region.contains(zone), zone.0)
        });
        split.rotation_by_zone = SplitTable::NO_ROTATIONS;
        for (start, index) in self.subset.iter().enumerate() {
            let rotation = &mut split.rotation_by_zone[usize::from(upstreams[*index].zone.0)];
            if *rotation == u16::MAX {
                *rotation = self.rotations.len() as u16;
                self.rotations.push(Rotation { start, ..Rotation::default() });
            }
            self.rotations[usize::from(*rotation)].len += 1;
        }
    }
}

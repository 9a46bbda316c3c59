//! Which zone a request goes to where a traffic split is in force: the plan tells how much of each group goes
//! where, and the balancer only draws by it. Without a split there is one rotation over all zones.

use crate::interface::*;
use crate::request::Request;
use crate::rotation::Rotation;
use crate::split_table::SplitTable;
use crate::state::Balancer;
use crate::upstream::Upstream;

/// How much farther a zone outside the region is than another zone within it.
const OUTSIDE_REGION: u8 = 4;

impl Balancer {
    /// Puts another split in force, or none. A split that can't be acted on changes nothing.
    pub(crate) fn set_split(&mut self, split: Option<&TrafficSplit>) {
        if split.map_or(self.split.is_none(), |s| s.check().is_err()) {
            return;
        }
        let before = self.split.take();
        self.observations.resize_groups(split.map_or(0, |s| s.rows.len()));
        let zone = self.settings.zone;
        self.split = split.map(|s| Box::new(SplitTable::new(s, zone, before.as_deref())));
        let weight_before = self.totals.weight;
        match (&before, &mut self.split) {
            // The same zones: the rotations go on where they are.
            (Some(old), Some(new)) if (0..=255).map(ZoneId).all(|z| old.reaches(z) == new.reaches(z)) => {
                new.rotation_of = old.rotation_of;
                self.refresh_all_weights();
            }
            _ => self.choose_subset(),
        }
        // What was completed in zones that are no longer reached says nothing of those that are: else W would
        // promise there what the others did.
        self.throughput.per_second *= (self.totals.weight / weight_before.max(1e-9)).min(1.0);
    }

    /// Returns the upstream whose slot an admitted request takes.
    pub(crate) fn take_slot(&mut self, class: usize, tenant: usize) -> Option<usize> {
        let Some(mut split) = self.split.take() else { return self.next_slot(class, 0) };
        let slot = self.take_slot_by_split(&mut split, class, tenant);
        self.split = Some(split);
        slot
    }

    /// Smooth weighted round robin over the destinations of the group: the one that is owed most goes first.
    /// A zone that has no slot to give, or may not be entered, passes what it is owed to the other zones.
    fn take_slot_by_split(&mut self, split: &mut SplitTable, class: usize, tenant: usize) -> Option<usize> {
        let row = split.row(class, tenant);
        split.rows[row].record_request();
        let mut tried = 0u128;
        loop {
            let chosen = split.rows[row].most_owed(tried)?;
            let Some(zone) = split.rows[row].destinations[chosen].zone else {
                split.rows[row].destinations[chosen].credit -= 1.0;
                return None;
            };
            if split.rows[row].may_enter(zone)
                && let Some(slot) = self.next_slot(class, split.rotation(zone))
            {
                split.rows[row].destinations[chosen].credit -= 1.0;
                return Some(slot);
            }
            tried |= 1 << chosen;
            if !split.rows[row].pass_credit_on(chosen, tried) {
                return None;
            }
        }
    }

    /// Returns how far an upstream is from here for a retry of a request; `None` if the retry may not go
    /// there.
    pub(crate) fn retry_distance(&self, request: &Request, upstream: &Upstream) -> Option<u8> {
        let is_other_zone = u8::from(upstream.zone != self.settings.zone);
        let Some(split) = &self.split else { return Some(is_other_zone) };
        let group = &split.rows[split.row(request.class, request.tenant)];
        let is_outside = u8::from(!group.region.contains(upstream.zone));
        group.may_retry_in(upstream.zone, request).then_some(is_other_zone + OUTSIDE_REGION * is_outside)
    }

    /// Divides the subset into rotations: one a zone where a split is in force, the nearest zones first.
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
        split.rotation_of = SplitTable::NO_ROTATIONS;
        for (start, index) in self.subset.iter().enumerate() {
            let rotation = &mut split.rotation_of[usize::from(upstreams[*index].zone.0)];
            if *rotation == u16::MAX {
                *rotation = self.rotations.len() as u16;
                self.rotations.push(Rotation { start, ..Rotation::default() });
            }
            self.rotations[usize::from(*rotation)].len += 1;
        }
    }
}

//! Lookup tables and credits of the traffic split in force. They are built once per split, so that a request
//! needs no search and no allocation. [`crate::zone_routing`] routes requests by them.

use crate::interface::{GroupSplit, TrafficSplit, ZoneId};
use crate::request::Request;

/// Initial and maximum credit of a group for requests that leave the region. A share without initial credit
/// could not be used, and retries arrive in bursts.
const MAX_CROSS_REGION_CREDIT: f64 = 4.0;
/// Shortfall of a group's sum of shares that is attributed to rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Number of distinct values of a [`ZoneId`].
const ZONE_ID_COUNT: usize = 256;

/// Set of zones, as a bit set.
#[derive(Clone, Copy, Default)]
pub(crate) struct ZoneSet([u64; 4]);

impl ZoneSet {
    pub(crate) fn contains(&self, zone: ZoneId) -> bool {
        self.0[usize::from(zone.0 >> 6)] >> (zone.0 & 63) & 1 == 1
    }

    fn insert(&mut self, zone: ZoneId) {
        self.0[usize::from(zone.0 >> 6)] |= 1 << (zone.0 & 63);
    }

    fn remove(&mut self, zone: ZoneId) {
        self.0[usize::from(zone.0 >> 6)] &= !(1 << (zone.0 & 63));
    }
}

/// Destination of a group's requests.
pub(crate) struct Destination {
    /// Destination zone; `None` means rejection on arrival.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) share: f64,
    /// Number of requests by which the destination is behind its share.
    pub(crate) credit: f64,
}

/// Destinations of one group of requests, with their credits.
pub(crate) struct GroupTable {
    pub(crate) destinations: Vec<Destination>,
    /// Zones of the balancer's region.
    pub(crate) region: ZoneSet,
    /// Zones that attempts may go to.
    pub(crate) allowed: ZoneSet,
    max_cross_region: f64,
    /// Number of requests that may leave the region now.
    cross_region_credit: f64,
}

impl GroupTable {
    fn new(group: &GroupSplit, local_zone: ZoneId) -> Self {
        let (mut region, mut allowed) = (ZoneSet::default(), ZoneSet::default());
        region.insert(local_zone);
        group.region.iter().for_each(|zone| region.insert(*zone));
        let shared = group.zone_shares.iter().filter(|(_, share)| *share > 0.0);
        allowed.0 = region.0;
        shared.clone().for_each(|(zone, _)| allowed.insert(*zone));
        group.forbidden.iter().for_each(|zone| allowed.remove(*zone));
        let sum = group.zone_shares.iter().map(|(_, share)| share).sum::<f64>();
        let rejected = (sum < 1.0 - ROUNDING_TOLERANCE).then_some((None, 1.0 - sum));
        // Normalizes the shares, because rounding errors would add up.
        let total = if rejected.is_some() { 1.0 } else { sum };
        let shares = shared.map(|(zone, share)| (Some(*zone), *share / total)).chain(rejected);
        Self {
            destinations: shares.map(|(zone, share)| Destination { zone, share, credit: 0.0 }).collect(),
            region,
            allowed,
            max_cross_region: group.max_cross_region,
            cross_region_credit: if group.max_cross_region > 0.0 { MAX_CROSS_REGION_CREDIT } else { 0.0 },
        }
    }

    /// Copies the credits of the previous table.
    fn carry_over_credits(&mut self, previous: &Self) {
        if self.max_cross_region > 0.0 && previous.max_cross_region > 0.0 {
            self.cross_region_credit = previous.cross_region_credit;
        }
        for destination in &mut self.destinations {
            let old = previous.destinations.iter().find(|d| d.zone == destination.zone);
            destination.credit = old.map_or(0.0, |d| d.credit.clamp(-1.0, 1.0));
        }
    }

    /// Counts one more request of the group and credits each destination with its share.
    pub(crate) fn record_request(&mut self) {
        self.cross_region_credit =
            (self.cross_region_credit + self.max_cross_region).min(MAX_CROSS_REGION_CREDIT);
        self.destinations.iter_mut().for_each(|d| d.credit += d.share);
    }

    /// Returns the destination with the highest credit, except those in the bit set `tried`.
    pub(crate) fn most_credited_destination(&self, tried: u128) -> Option<usize> {
        let untried = self.destinations.iter().enumerate().filter(|(k, _)| tried >> k & 1 == 0);
        Some(untried.max_by(|a, b| a.1.credit.total_cmp(&b.1.credit))?.0)
    }

    /// Distributes the credit of a zone over the untried zones in proportion to their shares. Returns `false`
    /// if there are none; the request is then dropped from the credits, so that their sum stays zero.
    pub(crate) fn redistribute_credit(&mut self, from: usize, tried: u128) -> bool {
        let credit = std::mem::take(&mut self.destinations[from].credit);
        let is_untried_zone = |(k, d): &(usize, &mut Destination)| tried >> k & 1 == 0 && d.zone.is_some();
        let others = self.destinations.iter_mut().enumerate().filter(is_untried_zone);
        let others_share: f64 = others.map(|(_, d)| d.share).sum();
        if others_share <= 0.0 {
            self.destinations[from].credit = credit - 1.0;
            return false;
        }
        let others = self.destinations.iter_mut().enumerate().filter(is_untried_zone);
        others.for_each(|(_, d)| d.credit += credit * d.share / others_share);
        true
    }

    /// Returns true if a first attempt may go to a zone: inside the region, or with cross-region credit.
    pub(crate) fn may_send_first_attempt(&self, zone: ZoneId) -> bool {
        self.region.contains(zone) || self.cross_region_credit >= 1.0
    }

    /// Returns true if a retry of a request may go to a zone.
    pub(crate) fn may_send_retry(&self, zone: ZoneId, request: &Request) -> bool {
        self.allowed.contains(zone)
            && (self.may_send_first_attempt(zone) || self.has_attempt_outside_region(request))
    }

    /// Returns true if a request has an attempt outside the region.
    fn has_attempt_outside_region(&self, request: &Request) -> bool {
        request.attempts.iter().any(|a| !self.region.contains(a.zone))
    }
}

/// Traffic split in force, as lookup tables.
pub(crate) struct SplitTable {
    row_by_group: Vec<u16>,
    tenants: usize,
    pub(crate) rows: Vec<GroupTable>,
    /// By zone, the largest share of any group there, divided by the largest share in any zone.
    pub(crate) reach: [f64; ZONE_ID_COUNT],
    /// Rotation index by zone, out of range for a zone without a rotation.
    pub(crate) rotation_by_zone: [u16; ZONE_ID_COUNT],
}

impl SplitTable {
    /// Value of `rotation_by_zone` in which no zone has a rotation.
    pub(crate) const NO_ROTATIONS: [u16; ZONE_ID_COUNT] = [u16::MAX; ZONE_ID_COUNT];

    /// Builds the table of a valid split. Groups and destinations that existed before keep their credits;
    /// otherwise frequent small changes would always start with the largest share.
    pub(crate) fn new(split: &TrafficSplit, local_zone: ZoneId, previous: Option<&Self>) -> Self {
        let mut rows: Vec<GroupTable> =
            split.rows.iter().map(|row| GroupTable::new(row, local_zone)).collect();
        let previous_rows = previous.map_or(&[][..], |b| &b.rows);
        rows.iter_mut().zip(previous_rows).for_each(|(row, old)| row.carry_over_credits(old));
        Self {
            row_by_group: split.groups.clone(),
            tenants: split.tenants,
            reach: reach_by_zone(&rows),
            rows,
            rotation_by_zone: Self::NO_ROTATIONS,
        }
    }

    /// Returns the row index of a class and a tenant.
    pub(crate) fn row(&self, class: usize, tenant: usize) -> usize {
        let is_in_table = tenant < self.tenants;
        let entry = is_in_table.then(|| self.row_by_group.get(class.saturating_mul(self.tenants) + tenant));
        let last = self.rows.len() - 1;
        entry.flatten().map_or(last, |row| usize::from(*row).min(last))
    }

    /// Returns true if any group sends requests to a zone.
    pub(crate) fn reaches(&self, zone: ZoneId) -> bool {
        self.reach[usize::from(zone.0)] > 0.0
    }

    /// Returns the index of a zone's rotation, out of range if there is none.
    pub(crate) fn rotation(&self, zone: ZoneId) -> usize {
        usize::from(self.rotation_by_zone[usize::from(zone.0)])
    }

    /// Counts an attempt of a request that is about to be sent to a zone. The first one that leaves the
    /// region uses one cross-region credit.
    pub(crate) fn record_attempt(&mut self, request: &Request, zone: ZoneId) {
        let row = self.row(request.class, request.tenant);
        let group = &mut self.rows[row];
        if !group.region.contains(zone) && !group.has_attempt_outside_region(request) {
            group.cross_region_credit -= 1.0;
        }
    }
}

fn reach_by_zone(rows: &[GroupTable]) -> [f64; ZONE_ID_COUNT] {
    let mut reach = [0.0; ZONE_ID_COUNT];
    for destination in rows.iter().flat_map(|row| &row.destinations) {
        if let Some(zone) = destination.zone {
            let largest = &mut reach[usize::from(zone.0)];
            *largest = destination.share.max(*largest);
        }
    }
    let largest = reach.iter().fold(0.0, |a: f64, b| a.max(*b)).max(1e-9);
    reach.iter_mut().for_each(|r| *r /= largest);
    reach
}

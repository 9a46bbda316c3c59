//! The traffic split in force, as tables with their counters: made when a split comes, so that a request
//! needs no search and no allocation. [`crate::zone_routing`] decides by them.

use crate::interface::{GroupSplit, TrafficSplit, ZoneId};
use crate::request::Request;

/// The departures from the region that may be saved up, and that a group has at the start: a share that can't
/// be begun with is of no use, and retries come in bursts.
const MAX_CROSS_REGION_CREDIT: f64 = 4.0;
/// The part of a group's sum that may be missing by rounding alone.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// The number of zones that a [`ZoneId`] can tell apart.
const ZONES: usize = 256;

/// A set of zones.
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

/// One destination for the requests of a group.
pub(crate) struct Destination {
    /// The zone; `None` stands for rejection on arrival.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) share: f64,
    /// The requests by which it is behind its share.
    pub(crate) credit: f64,
}

/// The destinations of one group of requests.
pub(crate) struct GroupTable {
    pub(crate) destinations: Vec<Destination>,
    /// The zones of the balancer's region.
    pub(crate) region: ZoneSet,
    /// The zones that any attempt may go to.
    pub(crate) allowed: ZoneSet,
    max_cross_region: f64,
    /// The departures from the region that are free now.
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
        // Rounding errors would add up.
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

    /// Takes over the credits of the table that was in force before.
    fn inherit_credits(&mut self, before: &Self) {
        if self.max_cross_region > 0.0 && before.max_cross_region > 0.0 {
            self.cross_region_credit = before.cross_region_credit;
        }
        for destination in &mut self.destinations {
            let old = before.destinations.iter().find(|d| d.zone == destination.zone);
            destination.credit = old.map_or(0.0, |d| d.credit.clamp(-1.0, 1.0));
        }
    }

    /// Counts one more request of the group: each destination is owed its part of it.
    pub(crate) fn record_request(&mut self) {
        self.cross_region_credit =
            (self.cross_region_credit + self.max_cross_region).min(MAX_CROSS_REGION_CREDIT);
        self.destinations.iter_mut().for_each(|d| d.credit += d.share);
    }

    /// Returns the destination that is owed most, without those that were tried.
    pub(crate) fn most_owed(&self, tried: u128) -> Option<usize> {
        let untried = self.destinations.iter().enumerate().filter(|(k, _)| tried >> k & 1 == 0);
        Some(untried.max_by(|a, b| a.1.credit.total_cmp(&b.1.credit))?.0)
    }

    /// Passes what a zone is owed to the zones that have not been tried, in proportion. Returns `false` if
    /// there are none: the request that the zone was owed goes nowhere then, so that the sum of all that is
    /// owed stays zero.
    pub(crate) fn pass_credit_on(&mut self, from: usize, tried: u128) -> bool {
        let owed = std::mem::take(&mut self.destinations[from].credit);
        let is_open = |(k, d): &(usize, &mut Destination)| tried >> k & 1 == 0 && d.zone.is_some();
        let others = self.destinations.iter_mut().enumerate().filter(is_open);
        let others_share: f64 = others.map(|(_, d)| d.share).sum();
        if others_share <= 0.0 {
            self.destinations[from].credit = owed - 1.0;
            return false;
        }
        let others = self.destinations.iter_mut().enumerate().filter(is_open);
        others.for_each(|(_, d)| d.credit += owed * d.share / others_share);
        true
    }

    /// Returns whether a first attempt may go to a zone: it is in the region, or a departure is free.
    pub(crate) fn may_enter(&self, zone: ZoneId) -> bool {
        self.region.contains(zone) || self.cross_region_credit >= 1.0
    }

    /// Returns whether a retry of a request may go to a zone.
    pub(crate) fn may_retry_in(&self, zone: ZoneId, request: &Request) -> bool {
        self.allowed.contains(zone) && (self.may_enter(zone) || self.has_left_region(request))
    }

    /// Returns whether an attempt of a request has left the region.
    fn has_left_region(&self, request: &Request) -> bool {
        request.attempts.iter().any(|a| !self.region.contains(a.zone))
    }
}

/// The traffic split in force.
pub(crate) struct SplitTable {
    groups: Vec<u16>,
    tenants: usize,
    pub(crate) rows: Vec<GroupTable>,
    /// By zone: the largest share that a group has there, over the largest share anywhere.
    pub(crate) reach: [f64; ZONES],
    /// By zone: its rotation; past the last if there is none.
    pub(crate) rotation_of: [u16; ZONES],
}

impl SplitTable {
    /// The table's entry for a zone without a rotation.
    pub(crate) const NO_ROTATIONS: [u16; ZONES] = [u16::MAX; ZONES];

    /// Makes the table of a split that has been checked. Groups and destinations that were there before keep
    /// what they are owed: else many small changes would always begin with the largest share.
    pub(crate) fn new(split: &TrafficSplit, local_zone: ZoneId, before: Option<&Self>) -> Self {
        let mut rows: Vec<GroupTable> =
            split.rows.iter().map(|row| GroupTable::new(row, local_zone)).collect();
        let rows_before = before.map_or(&[][..], |b| &b.rows);
        rows.iter_mut().zip(rows_before).for_each(|(row, old)| row.inherit_credits(old));
        Self {
            groups: split.groups.clone(),
            tenants: split.tenants,
            reach: reach_by_zone(&rows),
            rows,
            rotation_of: Self::NO_ROTATIONS,
        }
    }

    /// Returns the row of a class and a tenant.
    pub(crate) fn row(&self, class: usize, tenant: usize) -> usize {
        let is_listed = tenant < self.tenants;
        let entry = is_listed.then(|| self.groups.get(class.saturating_mul(self.tenants) + tenant));
        let last = self.rows.len() - 1;
        entry.flatten().map_or(last, |row| usize::from(*row).min(last))
    }

    /// Returns whether any group sends requests to a zone.
    pub(crate) fn reaches(&self, zone: ZoneId) -> bool {
        self.reach[usize::from(zone.0)] > 0.0
    }

    /// Returns the rotation over a zone's upstreams; past the last if there is none.
    pub(crate) fn rotation(&self, zone: ZoneId) -> usize {
        usize::from(self.rotation_of[usize::from(zone.0)])
    }

    /// Counts an attempt of a request that is about to go to a zone: the first one that leaves the region
    /// costs a departure.
    pub(crate) fn record_attempt(&mut self, request: &Request, zone: ZoneId) {
        let row = self.row(request.class, request.tenant);
        let group = &mut self.rows[row];
        if !group.region.contains(zone) && !group.has_left_region(request) {
            group.cross_region_credit -= 1.0;
        }
    }
}

fn reach_by_zone(rows: &[GroupTable]) -> [f64; ZONES] {
    let mut reach = [0.0; ZONES];
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

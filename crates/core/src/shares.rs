//! Shares as tables with their counters: plain data, made when shares come, so that nothing of it is looked for or
//! allocated at a request. `zones.rs` decides by it.

use crate::interface::{GroupShares, Shares, ZoneId};
use crate::state::{Balancer, Request, Ring};

/// Departures from the region that may be saved up, and that a group has at the start: a share is no use that can't be
/// begun with, and further attempts come in bursts.
const BEYOND_SAVED: f64 = 4.0;
/// What is missing of a row's sum by rounding alone.
const ROUNDED: f64 = 1e-6;

/// A set of zones.
#[derive(Clone, Copy, Default)]
pub(crate) struct Zones([u64; 4]);

impl Zones {
    pub(crate) fn has(&self, zone: ZoneId) -> bool {
        self.0[usize::from(zone.0 >> 6)] >> (zone.0 & 63) & 1 == 1
    }

    fn add(&mut self, zone: ZoneId) {
        self.0[usize::from(zone.0 >> 6)] |= 1 << (zone.0 & 63);
    }

    fn remove(&mut self, zone: ZoneId) {
        self.0[usize::from(zone.0 >> 6)] &= !(1 << (zone.0 & 63));
    }
}

/// One way for the requests of a group.
pub(crate) struct Lane {
    pub(crate) zone: Option<ZoneId>, // None: refused on arrival
    pub(crate) share: f64,
    pub(crate) credit: f64, // requests that it is behind its share
}

/// One group.
pub(crate) struct Row {
    pub(crate) lanes: Vec<Lane>,
    pub(crate) near: Zones,    // of the own region
    pub(crate) allowed: Zones, // for any attempt
    pub(crate) beyond_most: f64,
    pub(crate) beyond: f64, // departures from the region that are free now
}

impl Row {
    fn new(row: &GroupShares, own: ZoneId) -> Self {
        let (mut near, mut allowed) = (Zones::default(), Zones::default());
        near.add(own);
        row.region.iter().for_each(|zone| near.add(*zone));
        let shared = row.to.iter().filter(|(_, share)| *share > 0.0);
        allowed.0 = near.0;
        shared.clone().for_each(|(zone, _)| allowed.add(*zone));
        row.never.iter().for_each(|zone| allowed.remove(*zone));
        let sum = row.to.iter().map(|(_, share)| share).sum::<f64>();
        let refused = (sum < 1.0 - ROUNDED).then_some((None, 1.0 - sum));
        // What rounding has left would add up.
        let whole = if refused.is_some() { 1.0 } else { sum };
        let ways = shared.map(|(zone, share)| (Some(*zone), *share / whole)).chain(refused);
        let lanes = ways.map(|(zone, share)| Lane { zone, share, credit: 0.0 }).collect();
        let beyond = if row.beyond_most > 0.0 { BEYOND_SAVED } else { 0.0 };
        Self { lanes, near, allowed, beyond_most: row.beyond_most, beyond }
    }

    /// One more request of the group: each way is owed its part of it.
    pub(crate) fn count(&mut self) {
        self.beyond = (self.beyond + self.beyond_most).min(BEYOND_SAVED);
        self.lanes.iter_mut().for_each(|lane| lane.credit += lane.share);
    }

    /// Passes what a zone is owed to the zones that have not been tried, in proportion. `false`: there are none, and the
    /// request that it was owed goes to nobody, so that the sum of all that is owed stays nil.
    pub(crate) fn pass_on(&mut self, from: usize, tried: u128) -> bool {
        let owed = std::mem::take(&mut self.lanes[from].credit);
        let left = |(k, lane): &(usize, &mut Lane)| tried >> k & 1 == 0 && lane.zone.is_some();
        let others: f64 = self.lanes.iter_mut().enumerate().filter(left).map(|(_, lane)| lane.share).sum();
        if others <= 0.0 {
            self.lanes[from].credit = owed - 1.0;
            return false;
        }
        let others_then = self.lanes.iter_mut().enumerate().filter(left);
        others_then.for_each(|(_, lane)| lane.credit += owed * lane.share / others);
        true
    }

    /// Whether an attempt of a request has left the region.
    pub(crate) fn has_left(&self, r: &Request) -> bool {
        r.attempts.iter().any(|a| !self.near.has(a.zone))
    }
}

/// Shares in force.
pub(crate) struct Tables {
    groups: Vec<u16>,
    tenants: usize,
    pub(crate) rows: Vec<Row>,
    pub(crate) reach: [f64; 256], // by zone: the largest share that a group has there, over the largest anywhere
    pub(crate) ring_of: [u16; 256], // by zone; past the last: none
}

impl Tables {
    /// Of shares that have been checked, for a balancer in zone `own`. Ways and groups that were there before keep what
    /// they are owed: else many small changes would always begin with the largest share.
    pub(crate) fn new(shares: &Shares, own: ZoneId, before: Option<&Self>) -> Self {
        let mut rows: Vec<Row> = shares.rows.iter().map(|row| Row::new(row, own)).collect();
        for (row, old) in rows.iter_mut().zip(before.map_or(&[][..], |b| &b.rows)) {
            if row.beyond_most > 0.0 && old.beyond_most > 0.0 {
                row.beyond = old.beyond;
            }
            for lane in &mut row.lanes {
                let was = old.lanes.iter().find(|l| l.zone == lane.zone);
                lane.credit = was.map_or(0.0, |l| l.credit.clamp(-1.0, 1.0));
            }
        }
        let mut reach = [0.0; 256];
        for lane in rows.iter().flat_map(|row| &row.lanes) {
            if let Some(zone) = lane.zone {
                let most = &mut reach[usize::from(zone.0)];
                *most = lane.share.max(*most);
            }
        }
        let most = reach.iter().fold(0.0, |a: f64, b| a.max(*b)).max(1e-9);
        reach.iter_mut().for_each(|r| *r /= most);
        Self { groups: shares.groups.clone(), tenants: shares.tenants, rows, reach, ring_of: [u16::MAX; 256] }
    }

    /// The row of a class and a tenant.
    pub(crate) fn row(&self, class: usize, tenant: usize) -> usize {
        let known =
            (tenant < self.tenants).then(|| self.groups.get(class.saturating_mul(self.tenants) + tenant));
        let last = self.rows.len() - 1;
        known.flatten().map_or(last, |n| usize::from(*n).min(last))
    }

    /// Whether any group sends requests to a zone.
    pub(crate) fn reaches(&self, zone: ZoneId) -> bool {
        self.reach[usize::from(zone.0)] > 0.0
    }

    /// Counts an attempt of a request that is about to go to a zone: the first one that leaves the region is paid for.
    pub(crate) fn sent(&mut self, r: &Request, zone: ZoneId) {
        let row = self.row(r.class, r.tenant);
        let row = &mut self.rows[row];
        if !row.near.has(zone) && !row.has_left(r) {
            row.beyond -= 1.0;
        }
    }
}

impl Balancer {
    /// Cuts the turns into rings: one a zone where shares stand, the nearest zones first.
    pub(crate) fn cut_rings(&mut self) {
        self.rings.clear();
        let Some(tables) = &mut self.tables else {
            self.rings.push(Ring { len: self.turns.len(), ..Ring::default() });
            return;
        };
        let (ring, own, near) = (&self.ring, self.set.zone, tables.rows[0].near);
        self.turns.sort_by_key(|j| {
            let zone = ring[*j].zone;
            (zone != own, !near.has(zone), zone.0)
        });
        tables.ring_of = [u16::MAX; 256];
        for (start, j) in self.turns.iter().enumerate() {
            let of = &mut tables.ring_of[usize::from(ring[*j].zone.0)];
            if *of == u16::MAX {
                *of = self.rings.len() as u16;
                self.rings.push(Ring { start, ..Ring::default() });
            }
            self.rings[usize::from(*of)].len += 1;
        }
    }
}

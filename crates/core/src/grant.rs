//! Admission: W and the grants of the tenants, every tick.

use crate::attempts::OVERDUE_BY;
use crate::interface::*;
use crate::state::{Balancer, Bucket, Learned};

/// Share of the admitted under which a class does not set how long queues may be.
const SHARE_LEAST: f64 = 0.02;
/// Share of the aim that work may spend in the fleet on average before room is gone; past it, many miss.
pub(crate) const ROOM: f64 = 0.4;
/// The same where reports tell how busy the cores are, so that latency need only guard.
const ROOM_TOLD: f64 = 0.55;
/// Times its least mean latency a class may take in any case, up to that share of the aim: what work takes
/// alone is no queue, and no refusal makes it less.
const ALONE: f64 = 1.6;
const ALONE_MOST: f64 = 0.6;
/// Seconds and requests over which demand V_i is counted at least: a tick sees too few to go by.
const DEMAND_OVER: f64 = 1.0;
const DEMAND_COUNT: f64 = 10.0;
/// Seconds over which C is counted under strain, and a rate once reached is forgotten otherwise.
const RATE_OVER: f64 = 2.0;
const RATE_KEPT: f64 = 30.0;
/// Share of the upstreams' cores that spare room may keep busy where reports tell, and what is added for
/// demand over the shares, by its worth: where it is worth little, so is the risk.
const BUSY: f64 = 0.62;
const BUSY_MORE: f64 = 0.4;
/// Seconds for which the newest report of it stands without a further one.
const BUSY_KEPT: f64 = 3.0;
/// Bucket size T_i: a second of the guarantee or this share of the tenant's demand, whichever is more, and
/// this many tokens, so that a small tenant's chance pairs are not refused.
const BUCKET: f64 = 0.2;
const BUCKET_LEAST: f64 = 3.0;
/// Guarantees grow with the middle tenant's demand and this much more, up to so many equal parts.
const PART_SPARE: f64 = 1.3;
const PART_MOST: f64 = 4.0;
/// Seconds after which what was last heard of a class or by probes fades, over as long again.
const HEARD: f64 = 5.0;
/// Part of a guarantee lost for each part of what is held that is too much: for demand over it, inside.
const CUT: (f64, f64) = (20.0, 2.0);
const CUT_FROM: f64 = 0.25;
/// Other zones get turns whatever their price while this share of the requests is refused on arrival; past
/// the second there is no room anywhere, and the way would be paid for nothing. Seconds and requests over
/// which it is counted; how much more of the turns a second, how much less with room, and the most of them.
const SPILL_AT: f64 = 0.02;
const SPILL_MOST: f64 = 0.4;
const SPILL_SEEN: f64 = 1.0;
const SPILL_COUNT: f64 = 10.0;
const SPILL_UP: f64 = 0.5;
const SPILL_DOWN: f64 = 0.1;
pub(crate) const SPILL_TO: f64 = 0.6;

impl Balancer {
    /// W = sum of (tau C_j + (Q_j - q_j)) in this balancer's own share, then u_i for each tenant.
    pub(crate) fn grant(&mut self, tau: f64) {
        let at = self.at;
        // What nothing new is heard of fades: else W under nil admits nothing that could tell otherwise.
        for (c, l) in self.set.classes.iter().zip(&mut self.classes).filter(|(_, l)| at > l.at + HEARD) {
            l.latency -= (tau / HEARD).min(1.0) * (l.latency - 0.5 * ROOM * c.aim.as_secs_f64()).max(0.0);
        }
        // Queues are shared by all classes: the one whose answers come closest to its aim sets how much they
        // may grow, or by how much they are too long.
        let classes = self.set.classes.iter().zip(&self.classes).filter(|(_, l)| l.share > SHARE_LEAST);
        let told = at - self.busy_at < BUSY_KEPT;
        let part = if told { ROOM_TOLD } else { ROOM };
        let slack = classes.map(|(c, l)| target(part, c.aim.as_secs_f64(), l) - l.latency);
        let mut slack = slack.fold(f64::INFINITY, f64::min);
        if let Some(tables) = &self.tables {
            // Shares are kept whatever is held where: the fullest zone sets the pace, not the mean of them.
            slack = slack.min((1.0 - self.sight.fullest(at, &tables.reach)) * part * self.shortest);
        }
        let mut within = (self.latency() + slack).max(0.0);
        let weights = self.sums.weights.max(1e-9);
        self.rate_now += (tau / RATE_OVER).min(1.0) * (self.done / tau.max(1e-6) - self.rate_now);
        self.done = 0.0;
        // Shares that reach nothing tell nothing of a rate.
        let blind = self.tables.is_some() && weights < 1e-6;
        let seen = if blind { self.rate } else { self.rate_now / weights };
        if told {
            let busy = BUSY + BUSY_MORE * self.set.over_share_worth.min(0.5);
            // A rate once reached under load would go on admitting what turns a crowded upstream slow.
            let able = seen * (busy / self.busy.max(0.1)).min(2.0);
            self.rate += (tau / RATE_OVER).min(1.0) * (able - self.rate);
            within = within.min(self.latency());
        } else {
            let over = if slack < 0.0 { RATE_OVER } else { RATE_KEPT };
            self.rate = (self.rate + (tau / over).min(1.0) * (seen - self.rate)).max(seen);
        }
        let (taken, least) = (self.sums.held, 1.0 / f64::from(self.set.balancers));
        // One place in all at least: where nothing is stated a start from nothing takes long.
        let room = self.sums.free * (tau * self.rate + (self.rate * within).max(least)) - taken;
        self.room = room;
        // Who is refused here may be served elsewhere, for the price of the way. Slowly back: else it swings.
        let fade = (-tau / SPILL_SEEN).exp();
        (self.asked, self.turned) = (self.asked * fade, self.turned * fade);
        let turned = self.turned / self.asked.max(SPILL_COUNT);
        let short = self.tables.is_none() && turned > SPILL_AT && turned < SPILL_MOST;
        self.spill = (self.spill + tau * if short { SPILL_UP } else { -SPILL_DOWN }).clamp(0.0, 1.0);
        let total: f64 = self.buckets.iter().map(|b| b.demand).sum();
        // Long enough to hold a few requests: a tenant that happened to be silent is not without demand.
        let over = DEMAND_OVER.max(DEMAND_COUNT / total.max(0.1));
        // Where room is missing, those over their guarantee lose it first; the rest too when much is missing,
        // as after the loss of half the fleet: nobody is served from full queues.
        let missing = (-room / f64::max(taken, 1e-9)).max(0.0);
        // Where the middle tenant asks for more than its part, this balancer carries more; no tenant surges.
        let there = self.buckets.iter().filter(|b| !b.gone);
        let mut asks: Vec<f64> = there.map(|b| b.demand / b.part.max(1e-9)).collect();
        asks.sort_by(f64::total_cmp);
        let more = (asks.get(asks.len() / 2).unwrap_or(&1.0) * PART_SPARE).clamp(1.0, PART_MOST);
        // ... unless much is missing: then all surge, as with retries in a jam.
        let more = 1.0 + (more - 1.0) * (1.0 - missing).max(0.0);
        self.buckets.iter_mut().for_each(|b| b.guarantee = b.part * more);
        for b in &mut self.buckets {
            let size = BUCKET_LEAST + (BUCKET * b.demand).max(b.guarantee); // T_i
            let cut = if b.demand > b.guarantee { CUT.0 * missing } else { CUT.1 * (missing - CUT_FROM) };
            let share = if total > 0.0 { b.demand / total } else { 0.0 };
            // Only whole tokens count against a share of W under one request: else it stops short of one.
            let open = (room - b.tokens.floor()).max(0.0);
            let grant = (1.0 - cut).clamp(0.0, 1.0) * b.guarantee * tau + share * open;
            b.tokens += grant.min((size - b.tokens).max(0.0));
            b.demand += (tau / over).min(1.0) * (b.arrivals / tau.max(1e-6) - b.demand);
            b.arrivals = 0.0;
        }
    }
}

/// The bucket of a tenant of whom nothing is known: full.
pub(crate) fn bucket(set: &Settings, i: usize) -> Bucket {
    let stated = set.tenants.get(i).map_or(0.0, |t| t.allowance_per_s);
    let part = if stated > 0.0 { stated / f64::from(set.balancers) } else { 1.0 };
    let tokens = BUCKET_LEAST + part;
    Bucket { tokens, arrivals: 0.0, demand: 0.0, part, guarantee: part, gone: false }
}

/// A class of which nothing is known.
pub(crate) fn unlearned(class: &Class) -> Learned {
    let aim = class.aim.as_secs_f64();
    Learned {
        latency: aim * 0.3,
        least: aim * 0.2,
        usual: aim * OVERDUE_BY,
        share: 1.0,
        ..Learned::default()
    }
}

/// The longest mean latency of a class that leaves room, for a part of its aim.
pub(crate) fn target(part: f64, aim: f64, l: &Learned) -> f64 {
    (part * aim).max((ALONE * l.least).min(ALONE_MOST * aim))
}

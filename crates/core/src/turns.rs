//! What each upstream can do now, the turns it gets for it, and the round robin with its skip rule.

use crate::grant::SPILL_TO;
use crate::learning::EJECT;
use crate::state::{Balancer, Facts, Ring, Sums, Upstream, climb};

/// Turns looked ahead by the skip rule; two is the design's.
const LOOK_AHEAD: usize = 5;
/// Holding this many times what another in sight holds, and half a request more, is clearly more.
const CLEARLY: f64 = 1.5;
/// What an overdue attempt counts for, in held requests: its upstream is stuck or silent.
pub(crate) const OVERDUE_HELD: f64 = 4.0;
/// Seconds over which what was learned of one upstream fades, and answers it takes to believe it.
const PACE_KEPT: f64 = 10.0;
const PACE_DOUBT: f64 = 4.0;
/// Share of the ready upstreams that may be ejected: when more seem ill, the fault is not theirs.
pub(crate) const EJECTED_MOST: f64 = 0.6;
/// What a cold upstream gets for each unit of capacity: this share of what would push it over.
pub(crate) const COLD_SHARE: f64 = 0.4;
/// Points of cross-zone price at which other zones get no ordinary turns; less in proportion.
const FAR_PRICE: f64 = 0.05;
/// Seconds after which a load report is half forgotten.
const REPORT_KEPT: f64 = 1.0;
/// Upstreams that are weighed at a tick at the most, beside those in use.
const SLICE: usize = 512;

impl Balancer {
    /// What all have in common that can do something now. It changes with the list, and with ejections.
    fn compare(&mut self) {
        let turns = || self.turns.iter().map(|j| &self.ring[*j]);
        let ready = turns().filter(|u| u.ready).count() as f64;
        let ejected = turns().filter(|u| u.ready && u.ejected_until > self.at).count() as f64;
        let near = |u: &Upstream| u.ready && u.zone == self.set.zone && u.ejected_until <= self.at;
        self.facts = Facts {
            largest: turns().map(|u| u.size).fold(1e-9, f64::max),
            // Where shares stand a whole zone may be gone: the others are taken as long as there are any.
            spare_ejections: ejected <= EJECTED_MOST * ready || (self.tables.is_some() && ejected < ready),
            near_ready: turns().any(near),
        };
    }

    /// What each upstream can do now, and the turns it gets for it. In a large fleet those that were in use
    /// are weighed at each tick, and of the others a part, one after another: the tick takes no longer.
    pub(crate) fn weigh(&mut self, all: bool) {
        let n = self.turns.len();
        let mut visits = std::mem::take(&mut self.touched);
        let all = all || visits.len() + SLICE >= n;
        if all {
            self.compare();
            visits.clear();
            visits.extend(&self.turns);
            (self.sums, self.weighed) = (Sums::default(), 0);
            self.ring.iter_mut().for_each(|u| u.part = Sums::default());
        } else {
            let end = (self.weighed + SLICE).min(n);
            visits.extend(&self.turns[self.weighed..end]);
            self.weighed = if end == n { 0 } else { end };
        }
        visits.iter().for_each(|j| self.weigh_one(*j));
        if self.weighed == 0 && !all {
            // What rounding has left over a round.
            let parts = self.turns.iter().map(|j| &self.ring[*j].part);
            self.sums = parts.fold(Sums::default(), |sum, part| sum.plus(part, 1.0));
        }
        // A cold upstream earns turns by the clock: where others are skipped the ring turns faster.
        let Sums { warm, warm_rate, .. } = self.sums;
        let each = if warm >= 0.5 { self.rate * warm_rate / warm } else { self.rate };
        let cold = COLD_SHARE * self.set.fall_multiple;
        for j in &visits {
            let u = &mut self.ring[*j];
            let tau = std::mem::take(&mut u.waited);
            if u.started.is_some() {
                u.credit = (u.credit + tau * each * cold * u.part.weights).min(1.5);
            }
        }
        visits.clear();
        self.touched = visits;
    }

    fn weigh_one(&mut self, j: usize) {
        let far = (1.0 - self.set.prices.cross_zone / FAR_PRICE).max(SPILL_TO * self.spill);
        let Facts { largest, spare_ejections, near_ready } = self.facts;
        let u = &mut self.ring[j];
        if !u.member {
            return;
        }
        let tau = (self.at - u.weighed_at).clamp(0.0, 1.0);
        (u.weighed_at, u.waited) = (self.at, u.waited + tau);
        u.seen *= (-tau / PACE_KEPT).exp();
        u.ghosts *= (-tau / self.shortest).exp();
        let pace = (u.pace * u.seen + PACE_DOUBT) / (u.seen + PACE_DOUBT);
        let climb = climb(&self.set, self.at, u);
        if climb >= 1.0 {
            u.started = None;
        }
        u.capacity = (u.size / largest * climb / pace.clamp(0.25, 4.0)).max(1e-3);
        let usable = u.ready && (u.ejected_until <= self.at || !spare_ejections);
        // Which zone gets how much is told where shares stand: only W is to know how far they reach.
        let (zone, reach) = match &self.tables {
            Some(t) => (1.0, t.reach[usize::from(u.zone.0)]),
            None if u.zone == self.set.zone || !near_ready => (1.0, 1.0),
            None => (far, 1.0),
        };
        u.weight = if usable { u.capacity * zone } else { 0.0 };
        let mut part = Sums::default();
        if u.weight > 0.0 {
            // One whose requests are overdue has no room, in part or all, but what it holds is held: else,
            // when all are stuck, W and what is missing are nil together and no guarantee is cut.
            part.held = f64::from(u.in_flight.saturating_sub(u.lost)) + u.ghosts;
            let free = 1.0 - (f64::from(u.overdue) + u.ghosts) / part.held.max(1.0);
            (part.weights, part.free) = (u.weight * reach, u.weight * reach * free);
            if u.started.is_none() {
                (part.warm, part.warm_rate) = (1.0, part.weights);
            }
        }
        self.sums = self.sums.plus(&u.part, -1.0).plus(&part, 1.0);
        u.part = part;
    }

    /// What an upstream holds for its capacity: own requests and, fading with age, reported ones.
    pub(crate) fn holds(&self, j: usize) -> f64 {
        let u = &self.ring[j];
        let age = (self.last_tick - u.held_at).max(0.0);
        let reported = u.held * (-age / REPORT_KEPT).exp();
        (f64::from(u.in_flight.saturating_sub(u.lost))
            + OVERDUE_HELD * f64::from(u.overdue)
            + u.ghosts
            + reported)
            / u.capacity
    }

    /// Steps the counter of a ring to the next upstream that has earned a turn.
    fn step(&mut self, ring: &mut Ring) -> Option<usize> {
        for _ in 0..ring.len * 8 {
            ring.sigma = (ring.sigma + 1) % ring.len;
            let j = self.turns[ring.start + ring.sigma];
            let u = &mut self.ring[j];
            if u.weight <= 0.0 {
                continue;
            }
            if u.started.is_none() {
                u.credit = (u.credit + u.weight).min(2.0);
            }
            if u.credit >= 1.0 {
                u.credit -= 1.0;
                return Some(j);
            }
        }
        None
    }

    /// The round robin with its skip rule: the first in turn that does not hold clearly more than the least
    /// of those in sight. Who is ejected for this class keeps its turn for the others.
    pub(crate) fn next_turn(&mut self, class: usize, ring: usize) -> Option<usize> {
        let mut rings = std::mem::take(&mut self.rings);
        let turn = rings.get_mut(ring).and_then(|ring| self.turn_of(class, ring));
        self.rings = rings;
        turn
    }

    fn turn_of(&mut self, class: usize, ring: &mut Ring) -> Option<usize> {
        ring.ahead.retain(|j| self.ring[*j].weight > 0.0 && self.ring[*j].ready);
        // Few are ejected, as a rule nobody: only a trial, one at a time and ever more seldom, looks for them
        // through all, since each may cost a request that nothing repeats.
        let out = self.classes[class].out;
        if out > 0 && self.at >= self.classes[class].trial_at {
            // A cold one by a turn that it has earned: else trials are sent beside its part.
            let may = |u: &Upstream| u.weight > 0.0 && (u.started.is_none() || u.credit >= 1.0);
            let ill = |j: &&usize| self.ring[**j].health[class].ejected && may(&self.ring[**j]);
            let tried = |j: &&usize| self.ring[**j].health[class].tried;
            let turns = self.turns[ring.start..ring.start + ring.len].iter();
            let oldest = turns.filter(ill).min_by(|a, b| tried(a).total_cmp(&tried(b)));
            let (l, oldest) = (&mut self.classes[class], oldest.copied());
            l.trials += u32::from(oldest.is_some());
            l.trial_at = self.at + EJECT * f64::from(1 << l.trials.min(4)) * (0.75 + 0.5 * self.rng.f64());
            if let Some(j) = oldest {
                let u = &mut self.ring[j];
                u.health[class].tried = self.at;
                u.credit -= f64::from(u8::from(u.started.is_some()));
                return oldest;
            }
        }
        let all = out >= self.turns.len();
        let fit = |b: &Self, j: usize| all || !b.ring[j].health[class].ejected;
        let mut sight = ring.ahead.iter().filter(|j| fit(self, **j)).count();
        while sight < LOOK_AHEAD && ring.ahead.len() < LOOK_AHEAD + ring.len {
            let Some(j) = self.step(ring) else { break };
            ring.ahead.push_back(j);
            sight += usize::from(fit(self, j));
        }
        if ring.ahead.len() >= LOOK_AHEAD + ring.len {
            ring.ahead.pop_front();
        }
        let seen = ring.ahead.iter().filter(|j| fit(self, **j)).take(LOOK_AHEAD);
        let least = seen.map(|j| self.holds(*j)).fold(f64::INFINITY, f64::min);
        while let Some(k) = ring.ahead.iter().position(|j| fit(self, *j)) {
            let j = ring.ahead.remove(k)?;
            if self.holds(j) <= least * CLEARLY + 0.5 {
                return Some(j);
            }
        }
        None
    }
}

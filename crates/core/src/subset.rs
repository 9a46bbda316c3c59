//! The list of upstreams as it changes, and who of them take turns.

use crate::interface::*;
use crate::state::{Balancer, Health, Upstream, climb, stated_each};
use crate::{stats::Chance, turns::COLD_SHARE};

/// Upstreams in a subset for each request a second that the balancer may get, and at the least.
const SUBSET_EACH: f64 = 0.7;
const SUBSET_LEAST: f64 = 2.0;
/// Subsets that each upstream is in at the least.
const SUBSETS_EACH: usize = 4;
/// Turns a second under which cold upstreams alone would leave nearly all requests refused.
const COLD_TURNS: f64 = 0.1;

impl Balancer {
    pub(crate) fn fleet(&mut self, scope: FleetScope, listed: &[Listed]) {
        if scope == FleetScope::Failed {
            // Doubling, jittered waits: a list service that was down must not meet all at once. They end
            // where the next call might come too late, counted from the start of this one.
            let first = asking::FIRST_WAIT.min(self.set.ask_every / 20).as_secs_f64();
            let left = asking::CALL_AGAIN.as_secs_f64() - (self.at - self.asked_at);
            let longest = left.clamp(first, asking::WAIT_LONGEST.as_secs_f64());
            let failures = if left < 0.0 { 0 } else { self.ask_failures.min(4) };
            (self.watching, self.ask_failures) = (false, failures + 1);
            let wait = (first * f64::from(1u32 << failures)).min(longest);
            self.ask_at = self.at + wait * (0.5 + 0.5 * self.rng.f64());
            return;
        }
        self.watching |= scope != FleetScope::Cached;
        self.ask_failures *= u32::from(scope == FleetScope::Cached);
        let mut changed = scope != FleetScope::Changes;
        if changed {
            // What a full list no longer names is gone.
            self.ring.iter_mut().for_each(|u| (u.ready, u.draining) = (false, false));
        }
        let (first, mut grown) = (self.ring.is_empty(), false);
        for l in listed {
            let started = l.started.map(|s| s.as_secs_f64());
            let j = *self.index.entry(l.id).or_insert_with(|| {
                // A newcomer to a list already known has just started, whatever the list says.
                let started = started.or((!first).then_some(self.at));
                self.ring.push(Upstream {
                    health: vec![Health::default(); self.classes.len()],
                    id: l.id,
                    started,
                    credit: self.rng.f64(),
                    capacity: 1.0,
                    alive_at: f64::NEG_INFINITY,
                    weighed_at: self.at,
                    fresh: !first,
                    ..Upstream::default()
                });
                grown = true;
                self.ring.len() - 1
            });
            let u = &mut self.ring[j];
            changed |= self.tables.is_some() && u.zone != l.zone; // rings are by zone
            (u.zone, u.cell) = (l.zone, l.cell);
            changed |= u.ready != (l.availability == Availability::Ready);
            u.ready = l.availability == Availability::Ready;
            u.draining = l.availability == Availability::Draining;
            let weight = if l.weight > 0.0 && l.weight.is_finite() { l.weight } else { 1.0 };
            match self.set.weights {
                Weights::Off => u.size = 1.0,
                Weights::Size => u.size = weight,
                Weights::Live => {
                    u.size = u.size.max(weight);
                    let others = 1.0 - 1.0 / f64::from(self.set.balancers.max(1));
                    (u.held, u.held_at) = ((u.size / weight - 1.0) * others, self.at);
                }
            }
            let fresh =
                |s: &f64| self.at - s < self.set.cold_time.as_secs_f64() && u.started.is_none_or(|k| *s > k);
            if let Some(s) = started.filter(fresh) {
                // It has restarted: what was held against it is void, and it is cold.
                u.started = Some(s);
                (u.ejections, u.ejected_until, u.credit) = (0, 0.0, self.rng.f64());
                u.health.fill(Health::default());
                (u.fresh, changed) = (true, true);
            }
        }
        let gone = |u: &Upstream| !u.ready && !u.draining && u.in_flight == 0;
        if grown || self.ring.iter().filter(|u| gone(u)).count() > self.ring.len() / 4 {
            // The gone leave: else churn of the fleet would grow state as long as a balancer lives.
            self.ring.retain(|u| !gone(u));
            self.index = self.ring.iter().enumerate().map(|(j, u)| (u.id, j)).collect();
            changed = true;
        }
        if changed { self.choose_subset() } else { self.weigh(true) }
    }

    /// Chooses who takes turns: all that are ready, or a subset where one balancer sees too little to keep a
    /// connection to each in use and to learn what it needs of each. Balancers that share a shuffled order
    /// of the ids get neighbouring parts of it, so that each upstream is in about as many subsets as any
    /// other. Guards against upstreams that run out of connections and against judging by stale news; who is
    /// ejected is replaced by the next in the order. Harm: fewer to choose from.
    pub(crate) fn choose_subset(&mut self) {
        let reached = |u: &Upstream| self.tables.as_ref().is_none_or(|t| t.reaches(u.zone));
        let mut order: Vec<usize> =
            (0..self.ring.len()).filter(|j| self.ring[*j].ready && reached(&self.ring[*j])).collect();
        // Few balancers take more each: every upstream is in several subsets, and one alone takes all.
        let n = order.len();
        let least = self.subset_least.max(SUBSETS_EACH * n / (self.set.balancers as usize).max(1));
        let all = least * 5 >= n * 4;
        let blocks = (n / least.max(1)).max(1);
        let (round, place) = (self.set.index as usize / blocks, self.set.index as usize % blocks * least);
        let mut members = 0;
        for u in &mut self.ring {
            u.member &= u.ready && self.tables.as_ref().is_none_or(|t| t.reaches(u.zone));
            if !u.member {
                (u.weighed_at, u.waited) = (self.at, 0.0); // time without turns earns none
            }
        }
        // Who comes back from ejection is looked at again then.
        let until = self.ring.iter().map(|u| u.ejected_until).filter(|t| *t > self.at);
        self.choose_at = until.fold(f64::INFINITY, f64::min);
        if !all {
            order
                .sort_by_cached_key(|j| Chance::with_seed(self.ring[*j].id.0 ^ (round as u64) << 48).u64(..));
            order.rotate_left(place % n.max(1));
        }
        for (rank, j) in order.iter().enumerate() {
            let u = &mut self.ring[*j];
            let usable = u.ejected_until <= self.at;
            // Once in it stays in, so that connections stay warm; newcomers have their place by the order.
            u.member = all || (usable && (u.member || (u.fresh && rank < least)));
            u.fresh &= !usable;
            members += usize::from(u.member);
        }
        // Not cold ones alone while any is warm, where nothing tells how many turns those may have.
        let (set, at, turns) = (&self.set, self.at, COLD_SHARE * self.set.fall_multiple * self.rate_now);
        let is_warm = |u: &Upstream| turns >= COLD_TURNS || climb(set, at, u) >= 1.0;
        let mut warm = self.ring.iter().filter(|u| u.member && is_warm(u)).count();
        for j in &order {
            let u = &mut self.ring[*j];
            let wanted = members < least || (warm == 0 && is_warm(u));
            if wanted && !u.member && u.ejected_until <= at {
                (u.member, members) = (true, members + 1);
                warm += usize::from(is_warm(u));
            }
        }
        for j in order.iter().rev() {
            let u = &mut self.ring[*j];
            if members > least + usize::from(warm == 1) && u.member && !all && (warm > 1 || !is_warm(u)) {
                (u.member, members) = (false, members - 1);
                warm -= usize::from(is_warm(u));
                self.out.push(Action::CloseIdle { upstream: u.id });
            }
        }
        self.turns = order;
        self.turns.retain(|j| self.ring[*j].member);
        // Each balancer has its own order, so that counters do not march in step.
        self.rng.shuffle(&mut self.turns);
        self.cut_rings();
        self.touched.clear();
        for (class, learned) in self.classes.iter_mut().enumerate() {
            let ill = |j: &&usize| self.ring[**j].health[class].ejected;
            learned.out = self.turns.iter().filter(ill).count();
        }
        self.weigh(true);
    }
}

pub(crate) fn subset_least(set: &Settings) -> usize {
    (SUBSET_EACH * stated_each(set)).clamp(SUBSET_LEAST, 1e6) as usize
}

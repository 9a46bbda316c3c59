//! The balancer's side: which shares it acts on, with the agreement's lease and without.
//!
//! With the lease: the plan. Without: the last plan, and beside it own evidence, by which it moves no more than its part of what
//! was agreed on as spare, so that the sum over all sides stays within the room. Without any plan ever: near first, and a fixed
//! cautious part of what can be seen.

use crate::document::{Document, FULL_SHARE, ZoneState};
use crate::evidence::Verdict;
use crate::names;
use crate::priorities::{PriorityLists, Zones, each, zone_bit};
use crate::report::{Demand, ZoneObservation};
use crate::rtt::RttTable;
use maplehook_locality::{Rules, Topology, Zone};
use std::time::Duration;

/// For how long a zone has to be out of own reach until that is acted on.
const OUT_AFTER: Duration = Duration::from_secs(1);
/// For how long it has to be in reach again. Where nothing is known of it any more, each time twice as long, five times at most.
const BACK_AFTER: Duration = Duration::from_secs(5);
const DOUBLED_MOST: u32 = 5;
/// Share of what was planned for a zone that tries it out where nothing is known of it any more, and for how long: longer than
/// most of a second's attempts have to fail.
const TRIES: f64 = 0.1;
const TRIED_FOR: Duration = Duration::from_secs(2);
/// Who has been well for so long begins anew.
const FORGIVEN: Duration = Duration::from_secs(60);
/// Longer pauses between two looks are counted as this.
const LOOK_MOST: Duration = Duration::from_millis(500);
/// Without any plan: part of what a zone can take that all who have none may send it, all together.
const CAUTIOUS: f64 = 0.2;

/// Where one rule's requests go that come in here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// By zone, as parts of all.
    pub to: Vec<(Zone, f64)>,
    /// What is refused, as a part of all.
    pub rejected: f64,
}

/// What a balancer acts on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveRouting {
    /// Whether it acts on what is agreed on in common.
    pub uses_shared_plan: bool,
    /// Why, in words.
    pub reason: &'static str,
    /// The epoch of the plan that it goes by.
    pub epoch: u64,
    /// By rule.
    pub rules: Vec<Shares>,
}

/// What is seen of one zone from here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Own {
    out: bool,
    out_for: Duration,
    well_since: Option<Duration>,
    /// Since when it is out of reach without a break.
    out_since: Option<Duration>,
    /// How often it fell out lately.
    falls: u32,
    /// Out, and tried out.
    tried: bool,
}

/// The balancer's machine.
#[derive(Clone, Debug)]
pub struct BalancerRouting {
    topology: Topology,
    rules: Rules,
    priorities: PriorityLists,
    zone: Zone,
    balancers: usize,
    agreed: Option<Document>,
    measured: RttTable,
    own: Vec<Own>,
    looked: Duration,
    routing: EffectiveRouting,
}

impl BalancerRouting {
    /// For a balancer of this zone.
    pub fn new(topology: Topology, rules: Rules, zone: Zone, now: Duration) -> Self {
        let priorities = PriorityLists::new(&topology, &rules);
        let own = vec![Own::default(); priorities.region_of.len()];
        let routing = EffectiveRouting::default();
        Self {
            topology,
            rules,
            priorities,
            zone,
            balancers: 1,
            agreed: None,
            measured: RttTable::default(),
            own,
            looked: now,
            routing,
        }
    }

    /// Ways between zones as they are agreed on; before the document that comes with them.
    pub fn set_rtt_table(&mut self, measured: &RttTable) {
        if self.measured != *measured {
            self.measured = measured.clone();
            let (topology, rules) = (self.topology.clone(), self.rules.clone());
            self.reconfigure(topology, rules, self.zone);
        }
    }

    /// Other places or rules: what was agreed on is carried over by name.
    pub fn reconfigure(&mut self, mut topology: Topology, rules: Rules, zone: Zone) {
        topology.set_measured(self.measured.resolve(&topology.clone()));
        let priorities = PriorityLists::new(&topology, &rules);
        let old = std::mem::replace(&mut self.topology, topology);
        let own = |new: Zone| {
            let before = old.zone(self.topology.zone_name(new));
            before.and_then(|zone| self.own.get(usize::from(zone.0))).copied().unwrap_or_default()
        };
        self.own = self.topology.zones().map(own).collect();
        (self.rules, self.priorities, self.zone) = (rules, priorities, zone);
        if let Some(agreed) = self.agreed.take() {
            self.agreed = Some(names::read_with(&agreed, &self.topology, &self.rules, &self.priorities));
        }
    }

    /// A document is in force.
    pub fn set_document(&mut self, document: &Document) {
        self.agreed = Some(names::read_with(document, &self.topology, &self.rules, &self.priorities));
    }

    /// How many balancers share what is spare: all that there are, in touch or not, with places or without.
    pub fn set_balancer_count(&mut self, count: usize) {
        self.balancers = count.max(1);
    }

    /// What was acted on at the last tick.
    pub fn routing(&self) -> &EffectiveRouting {
        &self.routing
    }

    /// What to act on now. `lease`: whether the agreement's lease holds; `sights` and `demand` are this balancer's own.
    pub fn tick(
        &mut self,
        now: Duration,
        lease: bool,
        observations: &[ZoneObservation],
        demand: &[Demand],
    ) -> &EffectiveRouting {
        self.look(now, observations);
        let uses_shared_plan = lease && self.agreed.is_some();
        let reason = match (&self.agreed, lease) {
            (Some(_), true) => "the plan in common",
            (Some(_), false) => "out of touch: the last plan, and own evidence within what is spare",
            (None, _) => "no plan was agreed on yet: near first, and own evidence within a cautious part",
        };
        let mut rules: Vec<Shares> =
            (0..self.rules.all().len() as u16).map(|rule| self.planned(rule, observations)).collect();
        if !uses_shared_plan {
            self.go_alone(&mut rules, observations, demand);
        }
        let epoch = self.agreed.as_ref().map_or(0, |agreed| agreed.plan.epoch);
        self.routing = EffectiveRouting { uses_shared_plan, reason, epoch, rules };
        &self.routing
    }

    /// What a report says of zones that are out of reach without a break, and for how long, in milliseconds.
    pub fn unreachable_ms(&self) -> Vec<(Zone, u16)> {
        let for_ms =
            |since: Duration| self.looked.saturating_sub(since).as_millis().min(u128::from(u16::MAX)) as u16;
        let out = |(zone, own): (usize, &Own)| Some((Zone(zone as u16), for_ms(own.out_since?)));
        self.own.iter().enumerate().filter_map(out).collect()
    }

    fn look(&mut self, now: Duration, observations: &[ZoneObservation]) {
        // Whoever was stopped has seen nothing meanwhile.
        if now.saturating_sub(self.looked) > LOOK_MOST {
            self.own.iter_mut().for_each(|own| own.out_since = None);
        }
        let passed = now.saturating_sub(self.looked).min(LOOK_MOST);
        self.looked = self.looked.max(now);
        for sight in observations {
            let Some(own) = self.own.get_mut(usize::from(sight.zone.0)) else { continue };
            let verdict = Verdict::of(sight);
            own.out_since = (verdict == Verdict::Out).then(|| own.out_since.unwrap_or(now));
            if verdict == Verdict::Out {
                own.out_for = (own.out_for + passed).min(OUT_AFTER);
                // What fails when it is tried out has failed again, at the first look.
                if !own.out && own.out_for >= OUT_AFTER || own.tried {
                    (own.out, own.tried) = (true, false);
                    own.falls = (own.falls + 1).min(DOUBLED_MOST + 1);
                }
                own.well_since = None;
            } else {
                own.out_for = own.out_for.saturating_sub(passed / 2);
                let since = *own.well_since.get_or_insert(now);
                let waited = now.saturating_sub(since);
                // Whoever sends nothing there sees nothing wrong with it, and would try it out again and again.
                let silent = verdict <= Verdict::Quiet;
                let doubled = if silent { own.falls.saturating_sub(1) } else { 0 };
                if own.tried && waited >= TRIED_FOR {
                    (own.out, own.tried, own.well_since) = (false, false, Some(now));
                } else if own.out && !own.tried && waited >= BACK_AFTER * (1 << doubled) {
                    (own.out, own.tried, own.well_since) = (silent, silent, Some(now));
                } else if !own.out && waited >= FORGIVEN {
                    own.falls = 0;
                }
            }
        }
    }

    /// The plan's row, else the rule's first step by what is usable of its zones.
    fn planned(&self, rule: u16, observations: &[ZoneObservation]) -> Shares {
        if let Some(row) = self.agreed.as_ref().and_then(|agreed| agreed.plan.row(rule, self.zone)) {
            let part = |part: u16| f64::from(part) / f64::from(FULL_SHARE);
            let to: Vec<(Zone, f64)> = row.to.iter().map(|share| (share.zone, part(share.part))).collect();
            let sent: f64 = to.iter().map(|(_, part)| part).sum();
            return Shares { to, rejected: (1.0 - sent).max(0.0) };
        }
        let first =
            self.priorities.list_index(rule, self.zone).and_then(|n| self.priorities.lists[n].steps.first());
        let step = first.copied().unwrap_or(0);
        let usable = |zone: usize| {
            let sight = observations.iter().find(|sight| usize::from(sight.zone.0) == zone);
            sight.map_or(0.0, |sight| f64::from(sight.usable)).max(0.0)
        };
        let all: f64 = each(step).map(usable).sum();
        let even = 1.0 / f64::from(step.count_ones().max(1));
        let part = |zone: usize| if all > 0.0 { usable(zone) / all } else { even };
        let to: Vec<(Zone, f64)> =
            each(step).map(|zone| (Zone(zone as u16), part(zone))).filter(|(_, part)| *part > 0.0).collect();
        Shares { rejected: if to.is_empty() { 1.0 } else { 0.0 }, to }
    }

    /// Moves what can't be served where it is to where there is something to spare.
    fn go_alone(&self, rules: &mut [Shares], observations: &[ZoneObservation], demand: &[Demand]) {
        let zones = self.own.len();
        let state = |zone: usize| {
            self.agreed
                .as_ref()
                .and_then(|agreed| agreed.zone_statuses.get(zone))
                .map_or(ZoneState::Serving, |p| p.state)
        };
        let closed = |zone: usize| matches!(state(zone), ZoneState::Unreachable | ZoneState::Evacuated);
        let seen = |zone: usize| observations.iter().find(|sight| usize::from(sight.zone.0) == zone);
        let alive = |zone: usize| {
            !self.own[zone].out
                && seen(zone).is_some_and(|sight| !Verdict::of(sight).is_bad() && sight.listed > 0.0)
        };
        // Who sees nothing well has bad eyes: it stays with what it has.
        if !(0..zones).any(alive) {
            return;
        }
        let set = |holds: &dyn Fn(usize) -> bool| crate::flow::zones_where(zones, holds);
        let (out, open) = (set(&|zone| self.own[zone].out), set(&|zone| alive(zone) && !closed(zone)));
        let last = if open == 0 { set(&alive) } else { open };
        let asked = |rule: usize| {
            let found = demand.iter().find(|demand| usize::from(demand.rule) == rule);
            found.map_or(0.0, |demand| f64::from(demand.asked)).max(0.0)
        };
        let total: f64 = (0..rules.len()).map(asked).sum();
        let mut spare: Vec<f64> = (0..zones).map(|zone| self.spare(zone, seen(zone), total)).collect();
        for (n, shares) in rules.iter_mut().enumerate() {
            let Some(shape) = self.priorities.list_index(n as u16, self.zone) else { continue };
            let asked = asked(n);
            let mut lost = 0.0;
            for (zone, part) in shares.to.iter_mut().filter(|(zone, _)| out & zone_bit(*zone) != 0) {
                let tried = self.own[usize::from(zone.0)].tried;
                let keeps = if tried { *part * TRIES } else { 0.0 };
                lost += *part - keeps;
                *part = keeps;
            }
            if lost <= 0.0 {
                continue;
            }
            shares.to.retain(|(_, part)| *part > 0.0);
            let shape = &self.priorities.lists[shape];
            let mut beyond = shape.beyond_most;
            for (zone, part) in &shares.to {
                beyond -= if shape.beyond & zone_bit(*zone) != 0 { *part } else { 0.0 };
            }
            for step in &shape.steps {
                let into: Zones = step & last;
                for zone in each(into) {
                    let outside = shape.beyond >> zone & 1 == 1;
                    let room = if asked > 0.0 {
                        spare[zone] / asked
                    } else {
                        f64::from(u8::from(spare[zone] > 0.0))
                    };
                    let most = if outside { beyond.max(0.0) } else { 1.0 };
                    let part = lost.min(room).min(most);
                    if part <= 0.0 {
                        continue;
                    }
                    spare[zone] -= part * asked;
                    lost -= part;
                    beyond -= if outside { part } else { 0.0 };
                    let zone = Zone(zone as u16);
                    match shares.to.iter_mut().find(|(z, _)| *z == zone) {
                        Some((_, old)) => *old += part,
                        None => shares.to.push((zone, part)),
                    }
                }
            }
            shares.to.sort_by_key(|(zone, _)| *zone);
            shares.rejected = (1.0 - shares.to.iter().map(|(_, part)| part).sum::<f64>()).max(0.0);
        }
    }

    /// What this balancer may send a zone beside the plan, in requests a second.
    fn spare(&self, zone: usize, sight: Option<&ZoneObservation>, asked: f64) -> f64 {
        match (&self.agreed, sight) {
            (Some(agreed), _) => agreed.plan.lent(self.own.len(), self.zone, zone, self.balancers),
            (None, Some(sight)) if sight.stated => CAUTIOUS * f64::from(sight.usable) / self.balancers as f64,
            // Rooms that nobody knows: a part of its own requests.
            (None, Some(_)) => CAUTIOUS * asked,
            (None, None) => 0.0,
        }
    }
}

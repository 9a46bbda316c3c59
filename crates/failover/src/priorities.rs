//! Rules as the planner counts: which zones each step leads to, once for all rules and sources that agree in it.

use maplehook_locality::{Rules, Topology, WhenLost, Zone};
use std::collections::BTreeMap;

/// Zones as bits.
pub type Zones = u64;

/// A zone as a bit; none for one that can't be.
pub fn zone_bit(zone: Zone) -> Zones {
    1u64.checked_shl(u32::from(zone.0)).unwrap_or(0)
}

/// The zones of a set, in order.
pub fn each(mut zones: Zones) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let next = zones.trailing_zeros() as usize;
        zones &= zones.wrapping_sub(1);
        (next < 64).then_some(next)
    })
}

/// What rules and sources have in common that are planned for as one.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorityList {
    /// Where the requests come in.
    pub from: Zone,
    /// Zones of each step, the nearest first; with [`WhenLost::Anywhere`] the last is what no step names.
    pub steps: Vec<Zones>,
    /// Steps that are the rule's own; the rest is for when these are lost or full.
    pub own: usize,
    /// Load of a step's zones up to which it is filled.
    pub over: f64,
    /// Seconds for which it has to be over until the next step opens.
    pub over_for: f64,
    /// Load under which the next step closes.
    pub back: f64,
    /// Seconds for which it has to be under.
    pub back_for: f64,
    /// Part of a step's listed room that has to be usable.
    pub usable_least: f64,
    /// Part of the requests that may leave the region.
    pub beyond_most: f64,
    /// Zones out of the region.
    pub beyond: Zones,
}

impl PriorityList {
    /// All zones that it may ever be sent to.
    pub fn allowed(&self) -> Zones {
        self.steps.iter().fold(0, |all, step| all | step)
    }

    /// The step that a zone stands in.
    pub fn level(&self, zone: usize) -> usize {
        self.steps.iter().position(|step| step >> zone & 1 == 1).unwrap_or(self.steps.len())
    }
}

/// All rules and sources, by shape.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorityLists {
    /// The shapes there are.
    pub lists: Vec<PriorityList>,
    /// Position of the shape by rule and then by zone.
    by_rule: Vec<Vec<usize>>,
    /// Zones by region.
    pub regions: Vec<Zones>,
    /// Region by zone.
    pub region_of: Vec<usize>,
}

impl PriorityLists {
    /// Of a topology and its rules.
    pub fn new(topology: &Topology, rules: &Rules) -> Self {
        let set = |zones: &[Zone]| zones.iter().fold(0, |all, zone| all | zone_bit(*zone));
        let all = topology.zones().fold(0, |all, zone| all | zone_bit(zone));
        let regions: Vec<Zones> = topology.regions().map(|region| set(topology.zones_of(region))).collect();
        let region_of = topology.zones().map(|zone| usize::from(topology.region_of(zone).0)).collect();
        let mut priorities = Self { regions, region_of, ..Self::default() };
        let mut known: BTreeMap<(Zone, Vec<Zones>, usize, [u64; 6]), usize> = BTreeMap::new();
        for rule in rules.all() {
            let mut of_rule = Vec::new();
            for from in topology.zones() {
                let mut steps: Vec<Zones> =
                    rule.ladder(topology, from).iter().map(|step| set(step)).collect();
                let own = steps.len();
                let named = steps.iter().fold(0, |all, step| all | step);
                let rest = all & !named & !set(&rule.never);
                if rule.when_lost == WhenLost::Anywhere && rest != 0 {
                    steps.push(rest);
                }
                let spill = &rule.spill;
                let figures = [
                    spill.over.clamp(0.0, 1.0),
                    spill.over_for.as_secs_f64(),
                    spill.back,
                    spill.back_for.as_secs_f64(),
                    rule.usable_least,
                    rule.beyond_region_most.clamp(0.0, 1.0),
                ];
                let key = (from, steps, own, figures.map(f64::to_bits));
                let lists = &mut priorities.lists;
                let position = *known.entry(key).or_insert_with_key(|(from, steps, own, _)| {
                    let [over, over_for, back, back_for, usable_least, beyond_most] = figures;
                    lists.push(PriorityList {
                        from: *from,
                        steps: steps.clone(),
                        own: *own,
                        over,
                        over_for,
                        back,
                        back_for,
                        usable_least,
                        beyond_most,
                        beyond: all & !set(topology.zones_of(topology.region_of(*from))),
                    });
                    lists.len() - 1
                });
                of_rule.push(position);
            }
            priorities.by_rule.push(of_rule);
        }
        priorities
    }

    /// The position of the shape of a rule and a source.
    pub fn list_index(&self, rule: u16, from: Zone) -> Option<usize> {
        self.by_rule.get(usize::from(rule))?.get(usize::from(from.0)).copied()
    }

    /// Zones of the first steps of all rules, for requests of a zone.
    pub fn firsts(&self, from: Zone) -> Zones {
        let lists = self.by_rule.iter().filter_map(|of| of.get(usize::from(from.0)));
        let firsts = lists.filter_map(|shape| self.lists[*shape].steps.first());
        firsts.fold(0, |all, step| all | step)
    }

    /// All rules and sources, each with the position of its shape.
    pub fn all<'a>(&'a self) -> impl Iterator<Item = (u16, Zone, usize)> + 'a {
        let of_rule = |(rule, of): (usize, &'a Vec<usize>)| {
            let zone = move |(from, shape): (usize, &usize)| (rule as u16, Zone(from as u16), *shape);
            of.iter().enumerate().map(zone)
        };
        self.by_rule.iter().enumerate().flat_map(of_rule)
    }
}

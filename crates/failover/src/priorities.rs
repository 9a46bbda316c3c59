//! Failover priority lists: the zones of each step of the rules. Rules and source zones with equal lists
//! share one.

use maplehook_locality::{Rules, Topology, WhenLost, Zone};
use std::collections::BTreeMap;

/// Set of zones, one bit per zone index.
pub type ZoneSet = u64;

/// Returns the set with one zone; empty for indexes of 64 or more.
pub fn zone_bit(zone: Zone) -> ZoneSet {
    1u64.checked_shl(u32::from(zone.0)).unwrap_or(0)
}

/// Iterates over the zones of a set in ascending order.
pub fn zones_in(mut zones: ZoneSet) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let next = zones.trailing_zeros() as usize;
        zones &= zones.wrapping_sub(1);
        (next < 64).then_some(next)
    })
}

/// Failover priority list for the requests of one or more rules that arrive in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorityList {
    /// Source zone: the zone in which the requests arrive.
    pub from: Zone,
    /// Zones of each step, nearest first. With [`WhenLost::Anywhere`], the last step holds all zones that no
    /// other step names.
    pub steps: Vec<ZoneSet>,
    /// Number of steps that the rule states; a further step is only used if these are unavailable or full.
    pub explicit_steps: usize,
    /// Load of a step above which requests spill over to the next step, 0 to 1.
    pub spill_load: f64,
    /// Time in seconds for which the load has to stay above `spill_load`.
    pub spill_after_s: f64,
    /// Load below which spillover ends, 0 to 1.
    pub return_load: f64,
    /// Time in seconds for which the load has to stay below `return_load`.
    pub return_after_s: f64,
    /// Share of a step's listed capacity that has to be usable to prevent spillover, 0 to 1.
    pub min_usable_share: f64,
    /// Largest share of the requests that may leave the region, 0 to 1.
    pub max_remote_share: f64,
    /// Zones outside the region of the source zone.
    pub remote_zones: ZoneSet,
}

impl PriorityList {
    /// Returns all zones of all steps.
    pub fn allowed_zones(&self) -> ZoneSet {
        self.steps.iter().fold(0, |all, step| all | step)
    }

    /// Returns the step of a zone, or the number of steps if no step has it.
    pub fn step_of(&self, zone: usize) -> usize {
        self.steps.iter().position(|step| step >> zone & 1 == 1).unwrap_or(self.steps.len())
    }
}

/// Priority lists of all rules and source zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorityLists {
    /// Distinct priority lists.
    pub lists: Vec<PriorityList>,
    /// Index into `lists`, by rule and source zone.
    index_by_rule: Vec<Vec<usize>>,
    /// Zones of each region.
    pub regions: Vec<ZoneSet>,
    /// Region index of each zone.
    pub region_of: Vec<usize>,
}

impl PriorityLists {
    /// Builds the priority lists of a topology and its rules.
    pub fn new(topology: &Topology, rules: &Rules) -> Self {
        let set = |zones: &[Zone]| zones.iter().fold(0, |all, zone| all | zone_bit(*zone));
        let all = topology.zones().fold(0, |all, zone| all | zone_bit(zone));
        let regions: Vec<ZoneSet> = topology.regions().map(|region| set(topology.zones_of(region))).collect();
        let region_of = topology.zones().map(|zone| usize::from(topology.region_of(zone).0)).collect();
        let mut priorities = Self { regions, region_of, ..Self::default() };
        let mut index_by_key: BTreeMap<(Zone, Vec<ZoneSet>, usize, [u64; 6]), usize> = BTreeMap::new();
        for rule in rules.all() {
            let mut list_indexes = Vec::new();
            for from in topology.zones() {
                let mut steps: Vec<ZoneSet> =
                    rule.priority_list(topology, from).iter().map(|step| set(step)).collect();
                let explicit_steps = steps.len();
                let named_zones = steps.iter().fold(0, |all, step| all | step);
                let other_zones = all & !named_zones & !set(&rule.never);
                if rule.when_lost == WhenLost::Anywhere && other_zones != 0 {
                    steps.push(other_zones);
                }
                let spill = &rule.spill;
                let parameters = [
                    spill.over.clamp(0.0, 1.0),
                    spill.over_for.as_secs_f64(),
                    spill.back,
                    spill.back_for.as_secs_f64(),
                    rule.usable_least,
                    rule.beyond_region_most.clamp(0.0, 1.0),
                ];
                let key = (from, steps, explicit_steps, parameters.map(f64::to_bits));
                let lists = &mut priorities.lists;
                let position =
                    *index_by_key.entry(key).or_insert_with_key(|(from, steps, explicit_steps, _)| {
                        let [
                            spill_load,
                            spill_after_s,
                            return_load,
                            return_after_s,
                            min_usable_share,
                            max_remote_share,
                        ] = parameters;
                        lists.push(PriorityList {
                            from: *from,
                            steps: steps.clone(),
                            explicit_steps: *explicit_steps,
                            spill_load,
                            spill_after_s,
                            return_load,
                            return_after_s,
                            min_usable_share,
                            max_remote_share,
                            remote_zones: all & !set(topology.zones_of(topology.region_of(*from))),
                        });
                        lists.len() - 1
                    });
                list_indexes.push(position);
            }
            priorities.index_by_rule.push(list_indexes);
        }
        priorities
    }

    /// Returns the index of the list for a rule and a source zone.
    pub fn list_index(&self, rule: u16, from: Zone) -> Option<usize> {
        self.index_by_rule.get(usize::from(rule))?.get(usize::from(from.0)).copied()
    }

    /// Returns the zones of the first steps of all rules for a source zone.
    pub fn first_steps(&self, from: Zone) -> ZoneSet {
        let lists = self.index_by_rule.iter().filter_map(|indexes| indexes.get(usize::from(from.0)));
        let first_steps = lists.filter_map(|index| self.lists[*index].steps.first());
        first_steps.fold(0, |all, step| all | step)
    }

    /// Iterates over all rules and source zones with the index of their list.
    pub fn entries<'a>(&'a self) -> impl Iterator<Item = (u16, Zone, usize)> + 'a {
        let list_indexes = |(rule, indexes): (usize, &'a Vec<usize>)| {
            let zone = move |(from, index): (usize, &usize)| (rule as u16, Zone(from as u16), *index);
            indexes.iter().enumerate().map(zone)
        };
        self.index_by_rule.iter().enumerate().flat_map(list_indexes)
    }
}

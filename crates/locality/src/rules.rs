//! Compiled rules, and the table that assigns a rule to each class and tenant.

use crate::topology::{Region, Topology, Zone};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of rules, including the default rule.
pub const MAX_RULES: usize = 256;

/// Set of zones that a step sends requests to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StepTarget {
    /// The zone that received the request.
    OwnZone,
    /// The zones of the region that received the request.
    OwnRegion,
    /// A given zone, whichever zone received the request.
    Zone(Zone),
    /// All zones of a given region, whichever region received the request.
    Region(Region),
    /// All zones of the topology.
    Anywhere,
}

impl StepTarget {
    /// Returns the target zones for requests that zone `from` received.
    pub fn zones(self, topology: &Topology, from: Zone) -> Vec<Zone> {
        match self {
            Self::OwnZone => vec![from],
            Self::OwnRegion => topology.zones_of(topology.region_of(from)).to_vec(),
            Self::Zone(zone) => vec![zone],
            Self::Region(region) => topology.zones_of(region).to_vec(),
            Self::Anywhere => topology.zones().collect(),
        }
    }
}

/// One step of a `prefer` clause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Zones that the step sends requests to.
    #[serde(rename = "place")]
    pub target: StepTarget,
    /// Maximum round-trip time to a zone. A zone with unknown round-trip time is excluded.
    pub within: Option<Duration>,
}

/// Load thresholds that open the next step and close it again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spill {
    /// Load of the previous step, as a share of its capacity (0 to 1), above which spilling begins.
    pub over: f64,
    /// Time for which the load has to stay above `over`.
    pub over_for: Duration,
    /// Load below which spilling ends; less than `over`.
    pub back: f64,
    /// Time for which the load has to stay below `back`.
    pub back_for: Duration,
}

impl Default for Spill {
    fn default() -> Self {
        Self { over: 0.8, over_for: Duration::from_secs(1), back: 0.6, back_for: Duration::from_secs(5) }
    }
}

/// Handling of requests for which no step has a usable zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WhenLost {
    /// The requests are rejected.
    #[default]
    Refuse,
    /// The requests go to any usable zone that `never` does not exclude.
    Anywhere,
}

/// Routing rule for a set of classes and tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Name of the rule, unique within its [`Rules`].
    pub name: String,
    /// Steps in order of preference.
    pub steps: Vec<Step>,
    /// Load thresholds that open the next step.
    pub spill: Spill,
    /// Usable share of a step's capacity, below which the next step is opened. With 0, low capacity opens no
    /// step.
    pub usable_least: f64,
    /// Maximum share of the rule's requests that may leave the region, 0 to 1.
    pub beyond_region_most: f64,
    /// Zones that the rule never uses, sorted.
    pub never: Vec<Zone>,
    /// Handling of the rule's requests if no step has a usable zone.
    pub when_lost: WhenLost,
}

impl Rule {
    /// Returns the default rule: own zone, then own region, then anywhere.
    pub fn near_first() -> Self {
        let step = |target| Step { target, within: None };
        Self {
            name: "default".into(),
            steps: vec![step(StepTarget::OwnZone), step(StepTarget::OwnRegion), step(StepTarget::Anywhere)],
            spill: Spill::default(),
            usable_least: 0.5,
            beyond_region_most: 1.0,
            never: Vec::new(),
            when_lost: WhenLost::Anywhere,
        }
    }

    /// Returns the zones of each step for requests that zone `from` received. No zone appears twice, excluded
    /// zones are left out, and empty steps are dropped.
    pub fn priority_list(&self, topology: &Topology, from: Zone) -> Vec<Vec<Zone>> {
        let (mut used_zones, mut priority_list) = (Vec::new(), Vec::new());
        for step in &self.steps {
            let zones = step.target.zones(topology, from);
            let is_near = |zone: &Zone| {
                step.within.is_none_or(|max_rtt| topology.rtt(from, *zone).is_some_and(|rtt| rtt <= max_rtt))
            };
            let is_usable = |zone: &Zone| {
                is_near(zone) && !used_zones.contains(zone) && self.never.binary_search(zone).is_err()
            };
            let zones: Vec<Zone> = zones.into_iter().filter(is_usable).collect();
            used_zones.extend(&zones);
            if !zones.is_empty() {
                priority_list.push(zones);
            }
        }
        priority_list
    }
}

/// Compiled rules of a deployment, with the rule for each combination of class and tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    rules: Vec<Rule>,
    /// Indices into `rules`, row by row: one row for each class, one column for each tenant.
    table: Vec<u16>,
    tenants: usize,
}

impl Rules {
    /// Builds the table from `rule_of`, which returns the index of the rule for a class and a tenant. An
    /// index out of range selects the last rule. If `rules` is empty, [`Rule::near_first`] applies to all
    /// requests.
    pub fn new(
        rules: Vec<Rule>,
        classes: usize,
        tenants: usize,
        rule_of: impl Fn(usize, usize) -> usize,
    ) -> Self {
        let rules = if rules.is_empty() { vec![Rule::near_first()] } else { rules };
        let last = rules.len() - 1;
        let cells = (0..classes).flat_map(|class| (0..tenants).map(move |tenant| (class, tenant)));
        let table = cells.map(|(class, tenant)| rule_of(class, tenant).min(last) as u16).collect();
        Self { rules, table, tenants }
    }

    /// Returns rules that consist of the default rule only.
    pub fn near_first(classes: usize, tenants: usize) -> Self {
        Self::new(Vec::new(), classes, tenants, |_, _| 0)
    }

    /// Returns all rules; the last one applies to unknown classes and tenants.
    pub fn all(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the index into [`Self::all`] of the rule for a class and a tenant. For an unknown class or
    /// tenant, this is the last rule.
    pub fn rule_index(&self, class: usize, tenant: usize) -> usize {
        let cell = (tenant < self.tenants).then(|| self.table.get(class * self.tenants + tenant)).flatten();
        cell.map_or(self.rules.len() - 1, |n| usize::from(*n))
    }

    /// Returns the table, one row for each class, and the number of tenants in a row.
    pub fn table(&self) -> (&[u16], usize) {
        (&self.table, self.tenants)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn topology() -> Topology {
        let mut topology = Topology::new([("north", vec!["a", "b"]), ("south", vec!["c", "d"])]).unwrap();
        topology.set_rtt(Zone(0), Zone(1), Duration::from_millis(1));
        topology.set_rtt(Zone(0), Zone(2), Duration::from_millis(5));
        topology
    }

    #[test]
    fn priority_list_has_each_zone_once_and_no_excluded_zone() {
        let topology = topology();
        let mut rule = Rule::near_first();
        assert_eq!(
            rule.priority_list(&topology, Zone(0)),
            [vec![Zone(0)], vec![Zone(1)], vec![Zone(2), Zone(3)]]
        );
        rule.never = vec![Zone(1)];
        assert_eq!(rule.priority_list(&topology, Zone(0)), [vec![Zone(0)], vec![Zone(2), Zone(3)]]);
        rule.steps[2].within = Some(Duration::from_millis(5));
        assert_eq!(rule.priority_list(&topology, Zone(0)), [vec![Zone(0)], vec![Zone(2)]]);
    }

    #[test]
    fn unknown_classes_and_tenants_have_the_last_rule() {
        let mut other = Rule::near_first();
        other.name = "other".into();
        let rules = Rules::new(vec![Rule::near_first(), other], 2, 2, |class, _| class);
        assert_eq!(
            (rules.rule_index(0, 1), rules.rule_index(1, 0), rules.rule_index(7, 0), rules.rule_index(0, 7)),
            (0, 1, 1, 1)
        );
    }
}

//! Rules as they are acted on: tables, no text.

use crate::topology::{Region, Topology, Zone};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most rules.
pub const MAX_RULES: usize = 256;

/// Where a step leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StepTarget {
    /// The zone that the request came into.
    OwnZone,
    /// The other zones of its region.
    OwnRegion,
    /// A zone by name.
    Zone(Zone),
    /// All zones of a region by name.
    Region(Region),
    /// All zones there are.
    Anywhere,
}

impl StepTarget {
    /// The zones that it names for requests that came into a zone.
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

/// One step of `prefer`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Where it leads.
    #[serde(rename = "place")]
    pub target: StepTarget,
    /// Only to zones within this time, there and back; a zone of which it is not known is not within.
    pub within: Option<Duration>,
}

/// When requests go on to the next step for want of room.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spill {
    /// Load of the step before, as a share of its room, over which it begins. 0 to 1.
    pub over: f64,
    /// For how long it has to be over.
    pub over_for: Duration,
    /// Load under which it ends; less than `over`.
    pub back: f64,
    /// For how long it has to be under.
    pub back_for: Duration,
}

impl Default for Spill {
    fn default() -> Self {
        Self { over: 0.8, over_for: Duration::from_secs(1), back: 0.6, back_for: Duration::from_secs(5) }
    }
}

/// What becomes of requests for which no step is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WhenLost {
    /// They are refused.
    #[default]
    Refuse,
    /// They go wherever something answers, but where `never` forbids it.
    Anywhere,
}

/// One rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// Where requests go, the first first.
    pub steps: Vec<Step>,
    /// When the next step is opened for want of room.
    pub spill: Spill,
    /// Share of a step's capacity that has to be usable: under it the next step is opened. 0: never for that.
    pub usable_least: f64,
    /// The most of the rule's requests that may leave the region, as a share. 1: all.
    pub beyond_region_most: f64,
    /// Zones that it never uses, in order.
    pub never: Vec<Zone>,
    /// What becomes of what has no step left.
    pub when_lost: WhenLost,
}

impl Rule {
    /// What holds where nothing is written: near first, and everywhere in the end.
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

    /// The zones of each step for requests that came into this zone: none twice, none forbidden, no step empty.
    pub fn priority_list(&self, topology: &Topology, from: Zone) -> Vec<Vec<Zone>> {
        let (mut taken, mut priority_list) = (Vec::new(), Vec::new());
        for step in &self.steps {
            let zones = step.target.zones(topology, from);
            let near = |zone: &Zone| {
                step.within.is_none_or(|most| topology.rtt(from, *zone).is_some_and(|rtt| rtt <= most))
            };
            let fits =
                |zone: &Zone| near(zone) && !taken.contains(zone) && self.never.binary_search(zone).is_err();
            let zones: Vec<Zone> = zones.into_iter().filter(fits).collect();
            taken.extend(&zones);
            if !zones.is_empty() {
                priority_list.push(zones);
            }
        }
        priority_list
    }
}

/// All rules of a deployment, and which requests each is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    rules: Vec<Rule>,
    /// Positions of rules, by class and then by tenant.
    table: Vec<u16>,
    tenants: usize,
}

impl Rules {
    /// `rule_of` says which of `rules` is for a class and a tenant; what it says wrongly is the last one.
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

    /// One rule for everybody.
    pub fn near_first(classes: usize, tenants: usize) -> Self {
        Self::new(Vec::new(), classes, tenants, |_, _| 0)
    }

    /// All rules.
    pub fn all(&self) -> &[Rule] {
        &self.rules
    }

    /// The rule for a class and a tenant, as a position in [`Self::all`]; the last one for what there is not.
    pub fn rule_index(&self, class: usize, tenant: usize) -> usize {
        let known = (tenant < self.tenants).then(|| self.table.get(class * self.tenants + tenant)).flatten();
        known.map_or(self.rules.len() - 1, |n| usize::from(*n))
    }

    /// The table, row by row a class's, and how many tenants a row has.
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
    fn a_ladder_names_each_zone_once_and_none_that_is_forbidden() {
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
    fn whoever_no_rule_names_has_the_last() {
        let mut other = Rule::near_first();
        other.name = "other".into();
        let rules = Rules::new(vec![Rule::near_first(), other], 2, 2, |class, _| class);
        assert_eq!(
            (rules.rule_index(0, 1), rules.rule_index(1, 0), rules.rule_index(7, 0), rules.rule_index(0, 7)),
            (0, 1, 1, 1)
        );
    }
}

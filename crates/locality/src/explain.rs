//! Explains the routing of a request: the rule and step that apply, and why earlier rules and steps do not.
//!
//! The explanation is based on the current health of the zones. The planner may use fewer or more steps while
//! a dwell time runs.

use crate::health::LocalityHealth;
use crate::language::Names;
use crate::language::ast::{NamedLocality, Spanned, StepSyntax, TargetSyntax};
use crate::rules::{Rule, Rules, Step, StepTarget, WhenLost};
use crate::topology::{Topology, Zone};
use std::fmt;

/// Reason why an earlier rule does not apply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleMismatch {
    /// The rule applies to no request of the class.
    OtherClass,
    /// The rule applies to no request of the tenant.
    OtherTenant,
    /// The rule applies to the class with other tenants, and to the tenant with other classes.
    OtherPair,
}

/// Reason why a step does not use a zone that its target includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneExclusion {
    /// A `never` clause excludes the zone.
    Never,
    /// The round-trip time exceeds `within`.
    TooFar,
    /// The step has a `within`, and the round-trip time is unknown.
    RttUnknown,
    /// An earlier step uses the zone.
    Earlier,
}

/// Result of evaluating a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// All zones of the step are excluded.
    Empty,
    /// No zone of the step has usable capacity.
    Unusable,
    /// The load of the step has reached the `spill over` threshold.
    Full,
    /// The usable capacity is less than `spill below`, so the next step takes requests as well.
    LowCapacity,
    /// The step takes the requests.
    Chosen,
    /// An earlier step takes all requests.
    NotNeeded,
}

/// One step of the rule, with the zones it uses and its result.
#[derive(Clone, Debug, PartialEq)]
pub struct StepExplanation {
    /// Step in the syntax of the rule language.
    pub step: String,
    /// Names of the zones that the step uses.
    pub zones: Vec<String>,
    /// Names of the target's zones that the step does not use, with the reason.
    pub excluded_zones: Vec<(String, ZoneExclusion)>,
    /// Load and usable capacity of the used zones combined.
    pub health: LocalityHealth,
    /// Result of evaluating the step.
    pub outcome: StepOutcome,
}

/// Rule and step that apply to one request, and the reasons against the earlier ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Class and tenant of the request, and the zone that received it.
    pub request: [String; 3],
    /// Rule that applies to the request.
    pub rule: Rule,
    /// Names of the earlier rules, with the reason why each does not apply.
    pub mismatches: Vec<(String, RuleMismatch)>,
    /// All steps of the rule, in order of preference.
    pub steps: Vec<StepExplanation>,
    /// Index of the step that takes the request. `None` if no step can; [`Rule::when_lost`] then applies.
    pub chosen: Option<usize>,
}

/// Explains the routing of a request that `from` receives. `health` is indexed by zone; a zone beyond its end
/// counts as healthy and without load.
pub fn explain(
    rules: &Rules,
    names: &Names<'_>,
    class: usize,
    tenant: usize,
    from: Zone,
    health: &[LocalityHealth],
) -> Explanation {
    let chosen_rule = rules.rule_index(class, tenant);
    let rule = &rules.all()[chosen_rule];
    let mismatches = rules.all()[..chosen_rule].iter().enumerate();
    let mismatches = mismatches.map(|(n, rule)| (rule.name.clone(), mismatch(rules, n, class, tenant)));
    let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_else(|| "(unknown)".into());
    let steps = steps(rule, names.topology, from, health);
    Explanation {
        request: [
            name(names.classes, class),
            name(names.tenants, tenant),
            names.topology.zone_name(from).to_owned(),
        ],
        rule: rule.clone(),
        mismatches: mismatches.collect(),
        chosen: steps.iter().position(|step| step.outcome == StepOutcome::Chosen),
        steps,
    }
}

fn mismatch(rules: &Rules, rule: usize, class: usize, tenant: usize) -> RuleMismatch {
    let (table, tenants) = rules.table();
    let mut used = table.iter().enumerate().filter(|(_, n)| usize::from(**n) == rule).map(|(cell, _)| cell);
    if tenants == 0 || !used.clone().any(|cell| cell / tenants == class) {
        RuleMismatch::OtherClass
    } else if !used.any(|cell| cell % tenants == tenant) {
        RuleMismatch::OtherTenant
    } else {
        RuleMismatch::OtherPair
    }
}

fn steps(rule: &Rule, topology: &Topology, from: Zone, health: &[LocalityHealth]) -> Vec<StepExplanation> {
    let healthy = LocalityHealth { load: 0.0, usable: 1.0 };
    let (mut used_zones, mut is_satisfied, mut low_capacity) = (Vec::new(), false, None);
    let mut explanations = Vec::new();
    for (n, step) in rule.steps.iter().enumerate() {
        let mut zones = Vec::new();
        let mut excluded_zones = Vec::new();
        for zone in step.target.zones(topology, from) {
            match exclusion(rule, topology, from, step, zone, &used_zones) {
                Some(why) => excluded_zones.push((topology.zone_name(zone).to_owned(), why)),
                None => zones.push(zone),
            }
        }
        used_zones.extend(&zones);
        let weighted_health =
            |zone: &Zone| (health.get(usize::from(zone.0)).copied().unwrap_or(healthy), 1.0);
        let health = LocalityHealth::combine(zones.iter().map(weighted_health));
        let outcome = if zones.is_empty() {
            StepOutcome::Empty
        } else if is_satisfied {
            StepOutcome::NotNeeded
        } else if health.is_unusable() {
            StepOutcome::Unusable
        } else if !health.accepts_more(rule) {
            StepOutcome::Full
        } else if health.needs_next_step(rule) {
            low_capacity = low_capacity.or(Some(n));
            StepOutcome::LowCapacity
        } else {
            is_satisfied = true;
            StepOutcome::Chosen
        };
        let name = |zone: &Zone| topology.zone_name(*zone).to_owned();
        let step = syntax(step, topology);
        explanations.push(StepExplanation {
            step,
            zones: zones.iter().map(name).collect(),
            excluded_zones,
            health,
            outcome,
        });
    }
    // If no step has enough capacity, the first step with low capacity takes the requests.
    if let (false, Some(n)) = (is_satisfied, low_capacity) {
        explanations[n].outcome = StepOutcome::Chosen;
    }
    explanations
}

fn exclusion(
    rule: &Rule,
    topology: &Topology,
    from: Zone,
    step: &Step,
    zone: Zone,
    used_zones: &[Zone],
) -> Option<ZoneExclusion> {
    let rtt = topology.rtt(from, zone);
    if rule.never.binary_search(&zone).is_ok() {
        Some(ZoneExclusion::Never)
    } else if used_zones.contains(&zone) {
        Some(ZoneExclusion::Earlier)
    } else if step.within.is_some() && rtt.is_none() {
        Some(ZoneExclusion::RttUnknown)
    } else if step.within.is_some_and(|max_rtt| rtt.is_some_and(|rtt| rtt > max_rtt)) {
        Some(ZoneExclusion::TooFar)
    } else {
        None
    }
}

fn syntax(step: &Step, topology: &Topology) -> String {
    let target = match step.target {
        StepTarget::OwnZone => TargetSyntax::OwnZone,
        StepTarget::OwnRegion => TargetSyntax::OwnRegion,
        StepTarget::Anywhere => TargetSyntax::Anywhere,
        StepTarget::Zone(zone) => TargetSyntax::Named(NamedLocality::Zone(topology.zone_name(zone).into())),
        StepTarget::Region(region) => {
            TargetSyntax::Named(NamedLocality::Region(topology.region_name(region).into()))
        }
    };
    StepSyntax { target, within: step.within.map(Spanned::unspanned) }.to_string()
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [class, tenant, zone] = &self.request;
        writeln!(f, "class {class}, tenant {tenant}, received in zone {zone}")?;
        for (name, why) in &self.mismatches {
            let why = match why {
                RuleMismatch::OtherClass => "applies to no request of this class",
                RuleMismatch::OtherTenant => "applies to no request of this tenant",
                RuleMismatch::OtherPair => "applies to this class and to this tenant, but not in combination",
            };
            writeln!(f, "  rule {name}: {why}")?;
        }
        writeln!(f, "> rule {}", self.rule.name)?;
        for (n, step) in self.steps.iter().enumerate() {
            let mark = if self.chosen == Some(n) { '>' } else { ' ' };
            write!(f, "{mark}   {}. {} [{}]: ", n + 1, step.step, step.zones.join(", "))?;
            self.outcome(f, step)?;
            for (zone, why) in &step.excluded_zones {
                let why = match why {
                    ZoneExclusion::Never => "never",
                    ZoneExclusion::TooFar => "round-trip time too long",
                    ZoneExclusion::RttUnknown => "round-trip time unknown",
                    ZoneExclusion::Earlier => "used by an earlier step",
                };
                write!(f, "; without {zone} ({why})")?;
            }
            writeln!(f)?;
        }
        match (self.chosen, self.rule.when_lost) {
            (Some(_), _) => Ok(()),
            (None, WhenLost::Refuse) => writeln!(f, "> no usable step: rejected"),
            (None, WhenLost::Anywhere) => {
                writeln!(f, "> no usable step: any zone that `never` does not exclude")
            }
        }
    }
}

impl Explanation {
    fn outcome(&self, f: &mut fmt::Formatter<'_>, step: &StepExplanation) -> fmt::Result {
        let percent = |share: f64| (share * 1000.0).round() / 10.0;
        let (load, usable) = (percent(step.health.load), percent(step.health.usable));
        let (over, min_usable) = (percent(self.rule.spill.over), percent(self.rule.usable_least));
        match step.outcome {
            StepOutcome::Empty => f.write_str("all zones are excluded"),
            StepOutcome::Unusable => f.write_str("unusable: no zone has usable capacity"),
            StepOutcome::Full => write!(f, "full: load {load}%, spills over at {over}%"),
            StepOutcome::LowCapacity => write!(f, "{usable}% usable, spills below {min_usable}%"),
            StepOutcome::Chosen => write!(f, "chosen: load {load}%, {usable}% usable"),
            StepOutcome::NotNeeded => f.write_str("not needed"),
        }
    }
}

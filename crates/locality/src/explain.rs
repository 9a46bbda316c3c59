//! Why a request goes where it goes: which rule, which step, and why each one before it was passed over.
//!
//! It goes by what is seen now. The planner, while it waits out a dwell time, may have fewer or more steps open.

use crate::health::LocalityHealth;
use crate::language::Names;
use crate::language::ast::{NamedLocality, Spanned, StepSyntax, TargetSyntax};
use crate::rules::{Rule, Rules, Step, StepTarget, WhenLost};
use crate::topology::{Topology, Zone};
use std::fmt;

/// Why a rule that stands earlier was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleMismatch {
    /// No request of the class goes by it.
    OtherClass,
    /// No request of the tenant goes by it.
    OtherTenant,
    /// Requests of the class go by it, but of other tenants, or of classes that have this tenant's too.
    OtherPair,
}

/// Why a zone that a step names is left out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneExclusion {
    /// `never` forbids it.
    Never,
    /// It is further than `within`.
    TooFar,
    /// It is not known how far it is.
    RttUnknown,
    /// A step before leads there.
    Earlier,
}

/// What becomes of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// No zone is left in it.
    Empty,
    /// None of its zones can be used.
    Unusable,
    /// Its load is not under `spill over`.
    Full,
    /// It is used, but less of it than `spill below` can be: the next is used too.
    LowCapacity,
    /// Requests go here.
    Chosen,
    /// A step before it takes all.
    NotNeeded,
}

/// A step of the rule.
#[derive(Clone, Debug, PartialEq)]
pub struct StepExplanation {
    /// As it is written.
    pub step: String,
    /// Names of its zones.
    pub zones: Vec<String>,
    /// Names of zones that it does not lead to.
    pub left_out: Vec<(String, ZoneExclusion)>,
    /// Its zones together.
    pub seen: LocalityHealth,
    /// What becomes of it.
    pub outcome: StepOutcome,
}

/// Why a request goes where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Whose request: its class, tenant, and the zone that it came into.
    pub request: [String; 3],
    /// The rule that it goes by.
    pub rule: Rule,
    /// Rules that stand before that one.
    pub passed: Vec<(String, RuleMismatch)>,
    /// The rule's steps.
    pub steps: Vec<StepExplanation>,
    /// The step where requests go; `None`: no step is left, and [`Rule::when_lost`] says what becomes of them.
    pub chosen: Option<usize>,
}

/// Why a request goes where it goes. `seen` is by zone; a zone beyond its end counts as well and empty.
pub fn explain(
    rules: &Rules,
    names: &Names<'_>,
    class: usize,
    tenant: usize,
    from: Zone,
    seen: &[LocalityHealth],
) -> Explanation {
    let chosen_rule = rules.rule_index(class, tenant);
    let rule = &rules.all()[chosen_rule];
    let passed = rules.all()[..chosen_rule].iter().enumerate();
    let passed = passed.map(|(n, rule)| (rule.name.clone(), passed_over(rules, n, class, tenant)));
    let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_else(|| "(none known)".into());
    let steps = steps(rule, names.topology, from, seen);
    Explanation {
        request: [
            name(names.classes, class),
            name(names.tenants, tenant),
            names.topology.zone_name(from).to_owned(),
        ],
        rule: rule.clone(),
        passed: passed.collect(),
        chosen: steps.iter().position(|step| step.outcome == StepOutcome::Chosen),
        steps,
    }
}

fn passed_over(rules: &Rules, rule: usize, class: usize, tenant: usize) -> RuleMismatch {
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

fn steps(rule: &Rule, topology: &Topology, from: Zone, seen: &[LocalityHealth]) -> Vec<StepExplanation> {
    let well = LocalityHealth { load: 0.0, usable: 1.0 };
    let (mut taken, mut done, mut little) = (Vec::new(), false, None);
    let mut explained = Vec::new();
    for (n, step) in rule.steps.iter().enumerate() {
        let mut zones = Vec::new();
        let mut left_out = Vec::new();
        for zone in step.target.zones(topology, from) {
            match left(rule, topology, from, step, zone, &taken) {
                Some(why) => left_out.push((topology.zone_name(zone).to_owned(), why)),
                None => zones.push(zone),
            }
        }
        taken.extend(&zones);
        let of_zone = |zone: &Zone| (seen.get(usize::from(zone.0)).copied().unwrap_or(well), 1.0);
        let seen = LocalityHealth::combine(zones.iter().map(of_zone));
        let outcome = if zones.is_empty() {
            StepOutcome::Empty
        } else if done {
            StepOutcome::NotNeeded
        } else if seen.is_unusable() {
            StepOutcome::Unusable
        } else if !seen.accepts_more(rule) {
            StepOutcome::Full
        } else if seen.needs_next_step(rule) {
            little = little.or(Some(n));
            StepOutcome::LowCapacity
        } else {
            done = true;
            StepOutcome::Chosen
        };
        let name = |zone: &Zone| topology.zone_name(*zone).to_owned();
        let step = written(step, topology);
        explained.push(StepExplanation {
            step,
            zones: zones.iter().map(name).collect(),
            left_out,
            seen,
            outcome,
        });
    }
    // With none that is well enough, the first of which too little can be used is the one.
    if let (false, Some(n)) = (done, little) {
        explained[n].outcome = StepOutcome::Chosen;
    }
    explained
}

fn left(
    rule: &Rule,
    topology: &Topology,
    from: Zone,
    step: &Step,
    zone: Zone,
    taken: &[Zone],
) -> Option<ZoneExclusion> {
    let rtt = topology.rtt(from, zone);
    if rule.never.binary_search(&zone).is_ok() {
        Some(ZoneExclusion::Never)
    } else if taken.contains(&zone) {
        Some(ZoneExclusion::Earlier)
    } else if step.within.is_some() && rtt.is_none() {
        Some(ZoneExclusion::RttUnknown)
    } else if step.within.is_some_and(|most| rtt.is_some_and(|rtt| rtt > most)) {
        Some(ZoneExclusion::TooFar)
    } else {
        None
    }
}

fn written(step: &Step, topology: &Topology) -> String {
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
        writeln!(f, "class {class}, tenant {tenant}, into zone {zone}")?;
        for (name, why) in &self.passed {
            let why = match why {
                RuleMismatch::OtherClass => "no request of this class goes by it",
                RuleMismatch::OtherTenant => "no request of this tenant goes by it",
                RuleMismatch::OtherPair => "this class and this tenant go by it, but not together",
            };
            writeln!(f, "  rule {name}: {why}")?;
        }
        writeln!(f, "> rule {}", self.rule.name)?;
        for (n, step) in self.steps.iter().enumerate() {
            let mark = if self.chosen == Some(n) { '>' } else { ' ' };
            write!(f, "{mark}   {}. {} [{}]: ", n + 1, step.step, step.zones.join(", "))?;
            self.outcome(f, step)?;
            for (zone, why) in &step.left_out {
                let why = match why {
                    ZoneExclusion::Never => "never",
                    ZoneExclusion::TooFar => "too far",
                    ZoneExclusion::RttUnknown => "way not known",
                    ZoneExclusion::Earlier => "in a step before",
                };
                write!(f, "; without {zone} ({why})")?;
            }
            writeln!(f)?;
        }
        match (self.chosen, self.rule.when_lost) {
            (Some(_), _) => Ok(()),
            (None, WhenLost::Refuse) => writeln!(f, "> no step left: refused"),
            (None, WhenLost::Anywhere) => {
                writeln!(f, "> no step left: anywhere that `never` does not forbid")
            }
        }
    }
}

impl Explanation {
    fn outcome(&self, f: &mut fmt::Formatter<'_>, step: &StepExplanation) -> fmt::Result {
        let percent = |share: f64| (share * 1000.0).round() / 10.0;
        let (load, usable) = (percent(step.seen.load), percent(step.seen.usable));
        let (over, least) = (percent(self.rule.spill.over), percent(self.rule.usable_least));
        match step.outcome {
            StepOutcome::Empty => f.write_str("no zone left in it"),
            StepOutcome::Unusable => f.write_str("lost: nothing of it can be used"),
            StepOutcome::Full => write!(f, "full: load {load}%, spills over {over}%"),
            StepOutcome::LowCapacity => write!(f, "{usable}% usable, spills below {least}%"),
            StepOutcome::Chosen => write!(f, "requests go here: load {load}%, {usable}% usable"),
            StepOutcome::NotNeeded => f.write_str("not needed"),
        }
    }
}

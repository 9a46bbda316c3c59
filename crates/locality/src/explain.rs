//! Why a request goes where it goes: which rule, which step, and why each one before it was passed over.
//!
//! It goes by what is seen now. The planner, while it waits out a dwell time, may have fewer or more steps open.

use crate::language::Names;
use crate::language::ast::{At, Named, PlaceText, StepText};
use crate::rules::{Place, Rule, Rules, Step, WhenLost};
use crate::state::Seen;
use crate::topology::{Topology, Zone};
use std::fmt;

/// Why a rule that stands earlier was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// No request of the class goes by it.
    OtherClass,
    /// No request of the tenant goes by it.
    OtherTenant,
    /// Requests of the class go by it, but of other tenants, or of classes that have this tenant's too.
    OtherPair,
}

/// Why a zone that a step names is left out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeftOut {
    /// `never` forbids it.
    Never,
    /// It is further than `within`.
    TooFar,
    /// It is not known how far it is.
    WayUnknown,
    /// A step before leads there.
    Earlier,
}

/// What becomes of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No zone is left in it.
    Empty,
    /// None of its zones can be used.
    Lost,
    /// Its load is not under `spill over`.
    Full,
    /// It is used, but less of it than `spill below` can be: the next is used too.
    TooLittle,
    /// Requests go here.
    Chosen,
    /// A step before it takes all.
    NotNeeded,
}

/// A step of the rule.
#[derive(Clone, Debug, PartialEq)]
pub struct StepExplained {
    /// As it is written.
    pub step: String,
    /// Names of its zones.
    pub zones: Vec<String>,
    /// Names of zones that it does not lead to.
    pub left_out: Vec<(String, LeftOut)>,
    /// Its zones together.
    pub seen: Seen,
    /// What becomes of it.
    pub outcome: Outcome,
}

/// Why a request goes where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Whose request: its class, tenant, and the zone that it came into.
    pub request: [String; 3],
    /// The rule that it goes by.
    pub rule: Rule,
    /// Rules that stand before that one.
    pub passed: Vec<(String, Passed)>,
    /// The rule's steps.
    pub steps: Vec<StepExplained>,
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
    seen: &[Seen],
) -> Explanation {
    let chosen_rule = rules.of(class, tenant);
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
        chosen: steps.iter().position(|step| step.outcome == Outcome::Chosen),
        steps,
    }
}

fn passed_over(rules: &Rules, rule: usize, class: usize, tenant: usize) -> Passed {
    let (table, tenants) = rules.table();
    let mut used = table.iter().enumerate().filter(|(_, n)| usize::from(**n) == rule).map(|(cell, _)| cell);
    if tenants == 0 || !used.clone().any(|cell| cell / tenants == class) {
        Passed::OtherClass
    } else if !used.any(|cell| cell % tenants == tenant) {
        Passed::OtherTenant
    } else {
        Passed::OtherPair
    }
}

fn steps(rule: &Rule, topology: &Topology, from: Zone, seen: &[Seen]) -> Vec<StepExplained> {
    let well = Seen { load: 0.0, usable: 1.0 };
    let (mut taken, mut done, mut little) = (Vec::new(), false, None);
    let mut explained = Vec::new();
    for (n, step) in rule.steps.iter().enumerate() {
        let mut zones = Vec::new();
        let mut left_out = Vec::new();
        for zone in step.place.zones(topology, from) {
            match left(rule, topology, from, step, zone, &taken) {
                Some(why) => left_out.push((topology.zone_name(zone).to_owned(), why)),
                None => zones.push(zone),
            }
        }
        taken.extend(&zones);
        let of_zone = |zone: &Zone| (seen.get(usize::from(zone.0)).copied().unwrap_or(well), 1.0);
        let seen = Seen::together(zones.iter().map(of_zone));
        let outcome = if zones.is_empty() {
            Outcome::Empty
        } else if done {
            Outcome::NotNeeded
        } else if seen.is_lost() {
            Outcome::Lost
        } else if !seen.takes_more(rule) {
            Outcome::Full
        } else if seen.is_pressed(rule) {
            little = little.or(Some(n));
            Outcome::TooLittle
        } else {
            done = true;
            Outcome::Chosen
        };
        let name = |zone: &Zone| topology.zone_name(*zone).to_owned();
        let step = written(step, topology);
        explained.push(StepExplained {
            step,
            zones: zones.iter().map(name).collect(),
            left_out,
            seen,
            outcome,
        });
    }
    // With none that is well enough, the first of which too little can be used is the one.
    if let (false, Some(n)) = (done, little) {
        explained[n].outcome = Outcome::Chosen;
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
) -> Option<LeftOut> {
    let trip = topology.trip(from, zone);
    if rule.never.binary_search(&zone).is_ok() {
        Some(LeftOut::Never)
    } else if taken.contains(&zone) {
        Some(LeftOut::Earlier)
    } else if step.within.is_some() && trip.is_none() {
        Some(LeftOut::WayUnknown)
    } else if step.within.is_some_and(|most| trip.is_some_and(|trip| trip > most)) {
        Some(LeftOut::TooFar)
    } else {
        None
    }
}

fn written(step: &Step, topology: &Topology) -> String {
    let place = match step.place {
        Place::OwnZone => PlaceText::OwnZone,
        Place::OwnRegion => PlaceText::OwnRegion,
        Place::Anywhere => PlaceText::Anywhere,
        Place::Zone(zone) => PlaceText::Named(Named::Zone(topology.zone_name(zone).into())),
        Place::Region(region) => PlaceText::Named(Named::Region(topology.region_name(region).into())),
    };
    StepText { place, within: step.within.map(At::nowhere) }.to_string()
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [class, tenant, zone] = &self.request;
        writeln!(f, "class {class}, tenant {tenant}, into zone {zone}")?;
        for (name, why) in &self.passed {
            let why = match why {
                Passed::OtherClass => "no request of this class goes by it",
                Passed::OtherTenant => "no request of this tenant goes by it",
                Passed::OtherPair => "this class and this tenant go by it, but not together",
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
                    LeftOut::Never => "never",
                    LeftOut::TooFar => "too far",
                    LeftOut::WayUnknown => "way not known",
                    LeftOut::Earlier => "in a step before",
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
    fn outcome(&self, f: &mut fmt::Formatter<'_>, step: &StepExplained) -> fmt::Result {
        let percent = |share: f64| (share * 1000.0).round() / 10.0;
        let (load, usable) = (percent(step.seen.load), percent(step.seen.usable));
        let (over, least) = (percent(self.rule.spill.over), percent(self.rule.usable_least));
        match step.outcome {
            Outcome::Empty => f.write_str("no zone left in it"),
            Outcome::Lost => f.write_str("lost: nothing of it can be used"),
            Outcome::Full => write!(f, "full: load {load}%, spills over {over}%"),
            Outcome::TooLittle => write!(f, "{usable}% usable, spills below {least}%"),
            Outcome::Chosen => write!(f, "requests go here: load {load}%, {usable}% usable"),
            Outcome::NotNeeded => f.write_str("not needed"),
        }
    }
}

//! From a tree to tables: names are looked up, and what can't be meant is told.

use super::ast::{Clause, NamedLocality, RuleSyntax, Spanned, StepSyntax, Subject, TargetSyntax};
use super::fault::{Faults, nearest};
use super::parser::Parsed;
use super::{MAX_NAME_CHARS, MAX_STEPS, Names, reach};
use crate::rules::{MAX_RULES, Rule, Rules, Spill, Step, StepTarget, WhenLost};
use crate::topology::{Topology, Zone};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// A rule, and what is known of it beside.
struct Checked {
    rule: Rule,
    /// Classes and tenants listed; none: all. `None` for the default rule.
    subjects: Option<(BTreeSet<usize>, BTreeSet<usize>)>,
    at: usize,
    /// Nothing of it is missing for a fault, so that it can be judged against the others.
    whole: bool,
}

pub(super) fn check(parsed: &Parsed, names: &Names<'_>, faults: &mut Faults) -> Rules {
    let position = |names: &[String]| -> BTreeMap<String, usize> {
        names.iter().enumerate().rev().map(|(n, name)| (name.clone(), n)).collect()
    };
    let (classes, tenants) = (position(names.classes), position(names.tenants));
    let mut seen = BTreeMap::new();
    let mut checked = Vec::new();
    for (text, whole) in parsed.text.rules.iter().zip(&parsed.whole) {
        let (name, at) = (&text.name.node, text.name.span.start);
        if name.chars().count() > MAX_NAME_CHARS {
            faults.add(at, || format!("a rule's name has {MAX_NAME_CHARS} characters at most"));
        }
        if seen.insert(name, at).is_some() {
            faults.add(at, || format!("a rule `{name}` stands above"));
        }
        let mut maker = Maker { names, classes: &classes, tenants: &tenants, faults, whole: *whole };
        checked.push(maker.rule(text));
    }
    too_many(&checked, faults);
    tables(checked, names, faults)
}

fn too_many(checked: &[Checked], faults: &mut Faults) {
    let added = usize::from(checked.iter().all(|rule| rule.subjects.is_some()));
    if checked.len() + added > MAX_RULES
        && let Some(first) = checked.get(MAX_RULES - added)
    {
        faults.add(first.at, || format!("{MAX_RULES} rules at most, with the one for all others"));
    }
}

/// Which rule is for whom.
fn tables(checked: Vec<Checked>, names: &Names<'_>, faults: &mut Faults) -> Rules {
    let (classes, tenants) = (names.classes.len().max(1), names.tenants.len().max(1));
    let (mut rules, mut default): (Vec<Rule>, Option<Rule>) = (Vec::new(), None);
    let mut table: Vec<Option<usize>> = vec![None; classes * tenants];
    // One that has lost a clause to a fault would take what is not its own.
    for checked in checked.into_iter().filter(|rule| rule.whole) {
        let Some((by_class, by_tenant)) = checked.subjects else {
            if let Some(Rule { name: other, .. }) = &default {
                faults.add(checked.at, || {
                    format!("two rules without `for`: `{other}` is for all others already")
                });
            }
            default.get_or_insert(checked.rule);
            continue;
        };
        let fits = |set: &BTreeSet<usize>, n| set.is_empty() || set.contains(&n);
        let (mut any, mut before) = (false, BTreeSet::new());
        for class in (0..classes).filter(|class| fits(&by_class, *class)) {
            for tenant in (0..tenants).filter(|tenant| fits(&by_tenant, *tenant)) {
                let cell = &mut table[class * tenants + tenant];
                match cell {
                    Some(other) => drop(before.insert(*other)),
                    None => (*cell, any) = (Some(rules.len()), true),
                }
            }
        }
        if !any {
            let before: Vec<&str> = before.iter().map(|n| rules[*n].name.as_str()).collect();
            let name = &checked.rule.name;
            faults.add(checked.at, || {
                let more = if before.len() > 3 { ", ..." } else { "" };
                let before = before[..before.len().min(3)].join(", ");
                format!("rule `{name}` is never used: all that it is for goes by {before}{more}")
            });
        }
        rules.push(checked.rule);
    }
    let last = rules.len();
    rules.push(default.unwrap_or_else(Rule::near_first));
    Rules::new(rules, classes, tenants, |class, tenant| table[class * tenants + tenant].unwrap_or(last))
}

struct Maker<'a, 'f> {
    names: &'a Names<'a>,
    classes: &'a BTreeMap<String, usize>,
    tenants: &'a BTreeMap<String, usize>,
    faults: &'f mut Faults,
    whole: bool,
}

impl Maker<'_, '_> {
    fn rule(&mut self, text: &RuleSyntax) -> Checked {
        let mut rule = Rule {
            name: text.name.node.clone(),
            steps: Vec::new(),
            spill: Spill::default(),
            usable_least: 0.5,
            beyond_region_most: 1.0,
            never: Vec::new(),
            when_lost: WhenLost::default(),
        };
        let (mut subjects, mut steps, mut never): (_, &[Spanned<StepSyntax>], Option<Range<usize>>) =
            (None, &[], None);
        for clause in &text.clauses {
            match &clause.clause.node {
                Clause::For(list) => subjects = Some(self.subjects(list)),
                Clause::Prefer(list) => {
                    rule.steps = list.iter().filter_map(|step| self.step(&step.node, &step.span)).collect();
                    steps = list;
                }
                Clause::SpillOver(over) => {
                    if over.back.node >= over.over.node {
                        let (back, over) = (&over.back, over.over.node);
                        self.faults.add(back.span.start, || {
                            format!("back under {} is not under the {over} over which it spills", back.node)
                        });
                    }
                    rule.spill = Spill {
                        over: over.over.node.share(),
                        over_for: over.over_for.node,
                        back: over.back.node.share(),
                        back_for: over.back_for.node,
                    };
                }
                Clause::SpillBelow(least) => rule.usable_least = least.node.share(),
                Clause::Beyond(most) => rule.beyond_region_most = most.node.share(),
                Clause::Never(list) => {
                    rule.never = self.never(list);
                    never = Some(clause.clause.span.clone());
                }
                Clause::WhenLost(anywhere) => {
                    rule.when_lost = if *anywhere { WhenLost::Anywhere } else { WhenLost::Refuse };
                }
            }
        }
        let at = text.name.span.start;
        if self.whole && steps.is_empty() {
            self.faults.add(at, || format!("rule `{}` has no `prefer`", text.name.node));
        }
        if let Some(first) = steps.get(MAX_STEPS) {
            self.faults.add(first.span.start, || format!("{MAX_STEPS} steps at most"));
        }
        if subjects.is_some() && text.name.node == "default" {
            self.faults
                .add(at, || "`default` is the name of the rule for all others, which has no `for`".into());
        }
        if rule.steps.len() == steps.len() {
            reach::check(&rule, steps, never, self.names.topology, self.faults);
        }
        Checked { rule, subjects, at, whole: self.whole }
    }

    fn subjects(&mut self, list: &[Spanned<Subject>]) -> (BTreeSet<usize>, BTreeSet<usize>) {
        let (mut classes, mut tenants) = (BTreeSet::new(), BTreeSet::new());
        for subject in list {
            let (kind, name, known, chosen) = match &subject.node {
                Subject::Class(name) => ("class", name, self.classes, &mut classes),
                Subject::Tenant(name) => ("tenant", name, self.tenants, &mut tenants),
            };
            let at = subject.span.start;
            match known.get(name) {
                Some(n) if !chosen.insert(*n) => {
                    self.faults.add(at, || format!("{} is named twice", subject.node));
                }
                Some(_) => {}
                None => {
                    // Without it the rule would be for everybody.
                    self.whole = false;
                    self.faults.add(at, || unknown(kind, name, known.keys().map(String::as_str)));
                }
            }
        }
        (classes, tenants)
    }

    fn named(&mut self, named: &NamedLocality, at: usize) -> Option<StepTarget> {
        let topology = self.names.topology;
        let place = match named {
            NamedLocality::Zone(name) => topology.zone(name).map(StepTarget::Zone),
            NamedLocality::Region(name) => topology.region(name).map(StepTarget::Region),
        };
        if place.is_none() {
            self.faults.add(at, || match named {
                NamedLocality::Zone(name) => unknown("zone", name, zone_names(topology)),
                NamedLocality::Region(name) => {
                    unknown("region", name, topology.regions().map(|region| topology.region_name(region)))
                }
            });
        }
        place
    }

    fn step(&mut self, step: &StepSyntax, span: &Range<usize>) -> Option<Step> {
        let target = match &step.target {
            TargetSyntax::OwnZone => StepTarget::OwnZone,
            TargetSyntax::OwnRegion => StepTarget::OwnRegion,
            TargetSyntax::Anywhere => StepTarget::Anywhere,
            TargetSyntax::Named(named) => self.named(named, span.start)?,
        };
        Some(Step { target, within: step.within.as_ref().map(|within| within.node) })
    }

    fn never(&mut self, list: &[Spanned<NamedLocality>]) -> Vec<Zone> {
        let (mut zones, mut seen) = (BTreeSet::new(), BTreeSet::new());
        for named in list {
            if !seen.insert(&named.node) {
                self.faults.add(named.span.start, || format!("{} is named twice", named.node));
            }
            match self.named(&named.node, named.span.start) {
                Some(StepTarget::Zone(zone)) => drop(zones.insert(zone)),
                Some(StepTarget::Region(region)) => zones.extend(self.names.topology.zones_of(region)),
                _ => {}
            }
        }
        zones.into_iter().collect()
    }
}

fn zone_names(topology: &Topology) -> impl Iterator<Item = &str> {
    topology.zones().map(|zone| topology.zone_name(zone))
}

fn unknown<'a>(kind: &str, name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let short: String = name.chars().take(40).flat_map(char::escape_debug).collect();
    format!("no {kind} is named \"{short}\"{}", nearest(name, known))
}

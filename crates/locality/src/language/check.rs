//! Compiles the syntax tree to rules: resolves names and reports semantic errors.

use super::ast::{Clause, NamedLocality, RuleSyntax, Spanned, StepSyntax, Subject, TargetSyntax};
use super::fault::{Faults, suggestion};
use super::parser::Parsed;
use super::{MAX_NAME_CHARS, MAX_STEPS, Names, reach};
use crate::rules::{MAX_RULES, Rule, Rules, Spill, Step, StepTarget, WhenLost};
use crate::topology::{Topology, Zone};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// A compiled rule with the data needed to check it against other rules.
struct CompiledRule {
    rule: Rule,
    /// Indices of the listed classes and tenants; an empty set means all. `None` for the default rule.
    subjects: Option<(BTreeSet<usize>, BTreeSet<usize>)>,
    /// Byte position of the rule's name.
    position: usize,
    /// Set if no part of the rule was dropped because of an error. Only complete rules are checked against
    /// each other.
    is_complete: bool,
}

pub(super) fn check(parsed: &Parsed, names: &Names<'_>, faults: &mut Faults) -> Rules {
    let position = |names: &[String]| -> BTreeMap<String, usize> {
        names.iter().enumerate().rev().map(|(n, name)| (name.clone(), n)).collect()
    };
    let (classes, tenants) = (position(names.classes), position(names.tenants));
    let mut rule_names = BTreeMap::new();
    let mut checked = Vec::new();
    for (text, is_complete) in parsed.text.rules.iter().zip(&parsed.complete_rules) {
        let (name, at) = (&text.name.node, text.name.span.start);
        if name.chars().count() > MAX_NAME_CHARS {
            faults.add(at, || format!("the rule's name exceeds {MAX_NAME_CHARS} characters"));
        }
        if rule_names.insert(name, at).is_some() {
            faults.add(at, || format!("rule `{name}` is already defined above"));
        }
        let mut compiler =
            RuleCompiler { names, classes: &classes, tenants: &tenants, faults, is_complete: *is_complete };
        checked.push(compiler.rule(text));
    }
    check_rule_count(&checked, faults);
    build_table(checked, names, faults)
}

fn check_rule_count(checked: &[CompiledRule], faults: &mut Faults) {
    let default_count = usize::from(checked.iter().all(|rule| rule.subjects.is_some()));
    if checked.len() + default_count > MAX_RULES
        && let Some(first) = checked.get(MAX_RULES - default_count)
    {
        faults.add(first.position, || {
            format!("at most {MAX_RULES} rules are allowed, including the default rule")
        });
    }
}

/// Assigns a rule to each class and tenant.
fn build_table(checked: Vec<CompiledRule>, names: &Names<'_>, faults: &mut Faults) -> Rules {
    let (classes, tenants) = (names.classes.len().max(1), names.tenants.len().max(1));
    let (mut rules, mut default): (Vec<Rule>, Option<Rule>) = (Vec::new(), None);
    let mut table: Vec<Option<usize>> = vec![None; classes * tenants];
    // An incomplete rule is skipped: without a dropped clause it might match requests of other rules.
    for checked in checked.into_iter().filter(|rule| rule.is_complete) {
        let Some((by_class, by_tenant)) = checked.subjects else {
            if let Some(Rule { name: other, .. }) = &default {
                faults.add(checked.position, || {
                    format!("a second rule without `for`: `{other}` is already the default rule")
                });
            }
            default.get_or_insert(checked.rule);
            continue;
        };
        let fits = |set: &BTreeSet<usize>, n| set.is_empty() || set.contains(&n);
        let (mut is_used, mut earlier_rules) = (false, BTreeSet::new());
        for class in (0..classes).filter(|class| fits(&by_class, *class)) {
            for tenant in (0..tenants).filter(|tenant| fits(&by_tenant, *tenant)) {
                let cell = &mut table[class * tenants + tenant];
                match cell {
                    Some(other) => drop(earlier_rules.insert(*other)),
                    None => (*cell, is_used) = (Some(rules.len()), true),
                }
            }
        }
        if !is_used {
            let earlier_rules: Vec<&str> = earlier_rules.iter().map(|n| rules[*n].name.as_str()).collect();
            let name = &checked.rule.name;
            faults.add(checked.position, || {
                let more = if earlier_rules.len() > 3 { ", ..." } else { "" };
                let earlier_rules = earlier_rules[..earlier_rules.len().min(3)].join(", ");
                format!("rule `{name}` is never used: earlier rules match all of its requests: {earlier_rules}{more}")
            });
        }
        rules.push(checked.rule);
    }
    let last = rules.len();
    rules.push(default.unwrap_or_else(Rule::near_first));
    Rules::new(rules, classes, tenants, |class, tenant| table[class * tenants + tenant].unwrap_or(last))
}

struct RuleCompiler<'a, 'f> {
    names: &'a Names<'a>,
    classes: &'a BTreeMap<String, usize>,
    tenants: &'a BTreeMap<String, usize>,
    faults: &'f mut Faults,
    is_complete: bool,
}

impl RuleCompiler<'_, '_> {
    fn rule(&mut self, text: &RuleSyntax) -> CompiledRule {
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
                            format!("`back under {}` is not less than `spill over {over}`", back.node)
                        });
                    }
                    rule.spill = Spill {
                        over: over.over.node.share(),
                        over_for: over.over_for.node,
                        back: over.back.node.share(),
                        back_for: over.back_for.node,
                    };
                }
                Clause::SpillBelow(min_usable) => rule.usable_least = min_usable.node.share(),
                Clause::BeyondRegion(max_share) => rule.beyond_region_most = max_share.node.share(),
                Clause::Never(list) => {
                    rule.never = self.never(list);
                    never = Some(clause.clause.span.clone());
                }
                Clause::WhenLost(anywhere) => {
                    rule.when_lost = if *anywhere { WhenLost::Anywhere } else { WhenLost::Refuse };
                }
            }
        }
        let position = text.name.span.start;
        if self.is_complete && steps.is_empty() {
            self.faults.add(position, || format!("rule `{}` has no `prefer`", text.name.node));
        }
        if let Some(first) = steps.get(MAX_STEPS) {
            self.faults.add(first.span.start, || format!("at most {MAX_STEPS} steps are allowed"));
        }
        if subjects.is_some() && text.name.node == "default" {
            self.faults.add(position, || "the name `default` is reserved for the rule without `for`".into());
        }
        if rule.steps.len() == steps.len() {
            reach::check(&rule, steps, never, self.names.topology, self.faults);
        }
        CompiledRule { rule, subjects, position, is_complete: self.is_complete }
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
                    self.faults.add(at, || format!("{} is listed twice", subject.node));
                }
                Some(_) => {}
                None => {
                    // Without the unknown name, the rule might apply to all classes or all tenants.
                    self.is_complete = false;
                    self.faults.add(at, || unknown_name_error(kind, name, known.keys().map(String::as_str)));
                }
            }
        }
        (classes, tenants)
    }

    fn resolve(&mut self, name: &NamedLocality, at: usize) -> Option<StepTarget> {
        let topology = self.names.topology;
        let target = match name {
            NamedLocality::Zone(name) => topology.zone(name).map(StepTarget::Zone),
            NamedLocality::Region(name) => topology.region(name).map(StepTarget::Region),
        };
        if target.is_none() {
            self.faults.add(at, || match name {
                NamedLocality::Zone(name) => unknown_name_error("zone", name, zone_names(topology)),
                NamedLocality::Region(name) => unknown_name_error(
                    "region",
                    name,
                    topology.regions().map(|region| topology.region_name(region)),
                ),
            });
        }
        target
    }

    fn step(&mut self, step: &StepSyntax, span: &Range<usize>) -> Option<Step> {
        let target = match &step.target {
            TargetSyntax::OwnZone => StepTarget::OwnZone,
            TargetSyntax::OwnRegion => StepTarget::OwnRegion,
            TargetSyntax::Anywhere => StepTarget::Anywhere,
            TargetSyntax::Named(named) => self.resolve(named, span.start)?,
        };
        Some(Step { target, within: step.within.as_ref().map(|within| within.node) })
    }

    fn never(&mut self, list: &[Spanned<NamedLocality>]) -> Vec<Zone> {
        let (mut zones, mut listed_names) = (BTreeSet::new(), BTreeSet::new());
        for named in list {
            if !listed_names.insert(&named.node) {
                self.faults.add(named.span.start, || format!("{} is listed twice", named.node));
            }
            match self.resolve(&named.node, named.span.start) {
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

fn unknown_name_error<'a>(kind: &str, name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let shown_name: String = name.chars().take(40).flat_map(char::escape_debug).collect();
    format!("no {kind} is named \"{shown_name}\"{}", suggestion(name, known))
}

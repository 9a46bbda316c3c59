//! Finds contradictions between two sets of rules and merges both into the strictest set, which allows only
//! what both sets allow.
//!
//! | clause | contradiction | strictest set |
//! | --- | --- | --- |
//! | `never` | the excluded zones differ | zones that either excludes |
//! | `beyond region at most` | the values differ | the smaller value |
//! | `when lost` | the values differ | `refuse` |
//! | `prefer`, `spill`, names | none: they set preferences, not permissions | those of the second set |
//!
//! The sets are compared for each class and tenant, since a rule may have another name, position or scope in
//! each set. Both sets have to use the same zones, classes and tenants in the same order. The rules for
//! unknown classes and tenants are compared as well.

use crate::rules::{MAX_RULES, Rule, Rules, WhenLost};
use std::collections::BTreeMap;

/// Maximum number of contradictions listed; one more entry reports that there are others.
pub const MAX_CONTRADICTIONS: usize = 64;

/// Describes each contradiction between two sets of rules. An empty result means that some balancers may use
/// one set while others use the other set.
pub fn contradictions(a: &Rules, b: &Rules, classes: &[String], tenants: &[String]) -> Vec<String> {
    // All cells with the same pair of rules have the same contradictions; the description names the first
    // cell.
    let mut pairs = BTreeMap::new();
    for (cell, pair) in cells(a, b) {
        pairs.entry(pair).or_insert((cell, 0usize)).1 += 1;
    }
    let mut found = Vec::new();
    for ((x, y), (cell, count)) in pairs {
        let (x, y) = (&a.all()[x], &b.all()[y]);
        let differing = differing_clauses(x, y);
        if differing.is_empty() {
            continue;
        }
        if found.len() == MAX_CONTRADICTIONS {
            found.push("further contradictions are not listed".to_owned());
            break;
        }
        let rule = if x.name == y.name {
            format!("rule {}", x.name)
        } else {
            format!("rules {} and {}", x.name, y.name)
        };
        found.push(format!(
            "{rule}{}: {}",
            describe_cell(cell, count, classes, tenants),
            differing.join(", ")
        ));
    }
    found
}

fn describe_cell(
    cell: Option<(usize, usize)>,
    count: usize,
    classes: &[String],
    tenants: &[String],
) -> String {
    let Some((class, tenant)) = cell else { return " (classes and tenants that nobody knows)".into() };
    let name = |kind: &str, names: &[String], n| names.get(n).map(|name: &String| format!("{kind} {name}"));
    let names: Vec<String> =
        [name("class", classes, class), name("tenant", tenants, tenant)].into_iter().flatten().collect();
    let more = if count > 1 { format!(" and {} more", count - 1) } else { String::new() };
    if names.is_empty() { String::new() } else { format!(" ({}{more})", names.join(", ")) }
}

fn differing_clauses(a: &Rule, b: &Rule) -> Vec<String> {
    let mut differing = Vec::new();
    if a.never != b.never {
        differing.push("never forbids other zones".into());
    }
    if a.beyond_region_most != b.beyond_region_most {
        let percent = |rule: &Rule| (rule.beyond_region_most * 1e6).round() / 1e4;
        differing.push(format!("beyond region at most {}% and {}%", percent(a), percent(b)));
    }
    if a.when_lost != b.when_lost {
        let keyword = |rule: &Rule| if rule.when_lost == WhenLost::Refuse { "refuse" } else { "anywhere" };
        differing.push(format!("when lost {} and {}", keyword(a), keyword(b)));
    }
    differing
}

/// Indices of a class and a tenant (`None`: unknown ones), and the indices of their rules in the two sets.
type Cell = (Option<(usize, usize)>, (usize, usize));

fn cells(a: &Rules, b: &Rules) -> impl Iterator<Item = Cell> {
    let size = |rules: &Rules| {
        let (table, tenants) = rules.table();
        (table.len().checked_div(tenants).unwrap_or(0), tenants)
    };
    let (classes, tenants) = (size(a).0.max(size(b).0), size(a).1.max(size(b).1));
    let known = (0..classes).flat_map(move |class| (0..tenants).map(move |tenant| (class, tenant)));
    let known = known.map(|(class, tenant)| {
        (Some((class, tenant)), (a.rule_index(class, tenant), b.rule_index(class, tenant)))
    });
    known.chain([(None, (a.all().len() - 1, b.all().len() - 1))])
}

/// Merges two sets of rules into the strictest set, by the table in the module documentation. Steps and spill
/// thresholds are those of the second set.
///
/// A rule of the second set that shares requests with several rules of the first is split into one rule for
/// each distinct result. If that makes more than [`MAX_RULES`] rules, each rule of the second set is instead
/// made as strict as all rules of the first set that share requests with it.
pub fn strictest(a: &Rules, b: &Rules) -> Rules {
    let mut pairs: BTreeMap<(usize, usize), Rule> = BTreeMap::new();
    for (_, (x, y)) in cells(a, b) {
        pairs.entry((y, x)).or_insert_with(|| merge_rules(&a.all()[x], &b.all()[y]));
    }
    let mut merged = distinct(&pairs, b);
    if merged.len() > MAX_RULES {
        let mut by_second: BTreeMap<usize, Rule> = BTreeMap::new();
        for (y, x) in pairs.keys() {
            let merged_rule = by_second.entry(*y).or_insert_with(|| b.all()[*y].clone());
            *merged_rule = tighten(&a.all()[*x], merged_rule);
        }
        for (y, rule) in &mut by_second {
            if *rule != b.all()[*y] {
                rule.name = format!("{} with all", rule.name);
            }
        }
        for (key, rule) in &mut pairs {
            rule.clone_from(&by_second[&key.0]);
        }
        merged = distinct(&pairs, b);
    }
    // The rule for unknown classes and tenants has to be the last one.
    let last = (b.all().len() - 1, a.all().len() - 1);
    if let Some(n) = pairs.get(&last).and_then(|last| merged.iter().position(|rule| rule == last)) {
        let rule = merged.remove(n);
        merged.push(rule);
    }
    let (table, tenants) = b.table();
    let (a_table, a_tenants) = a.table();
    let tenants = tenants.max(a_tenants);
    let rows = |table: &[u16], tenants: usize| table.len().checked_div(tenants).unwrap_or(0);
    let classes = rows(table, b.table().1).max(rows(a_table, a_tenants));
    let merged_index: BTreeMap<(usize, usize), usize> = pairs
        .iter()
        .filter_map(|(key, rule)| merged.iter().position(|other| other == rule).map(|n| (*key, n)))
        .collect();
    let last = merged.len() - 1;
    let rule_of = |class, tenant| {
        merged_index.get(&(b.rule_index(class, tenant), a.rule_index(class, tenant))).copied().unwrap_or(last)
    };
    Rules::new(merged, classes, tenants, rule_of)
}

/// Returns the distinct rules of all pairs, in the order of the second set. A rule of the second set without
/// a pair is returned unchanged.
fn distinct(pairs: &BTreeMap<(usize, usize), Rule>, b: &Rules) -> Vec<Rule> {
    let mut merged: Vec<Rule> = Vec::new();
    for (y, rule) in b.all().iter().enumerate() {
        let start = merged.len();
        for (_, rule) in pairs.range((y, 0)..=(y, usize::MAX)) {
            if !merged[start..].contains(rule) {
                merged.push(rule.clone());
            }
        }
        if merged.len() == start {
            merged.push(rule.clone());
        }
    }
    merged
}

/// Returns a rule as strict as `a` and `b`, with the steps of `b`. If `b` is already as strict as `a`, the
/// result is `b` with its name, so that no name appears twice.
fn merge_rules(a: &Rule, b: &Rule) -> Rule {
    let mut rule = tighten(a, b);
    if rule != *b {
        rule.name = format!("{} with {}", b.name, a.name);
    }
    rule
}

fn tighten(a: &Rule, b: &Rule) -> Rule {
    let mut rule = b.clone();
    rule.never.extend(&a.never);
    rule.never.sort_unstable();
    rule.never.dedup();
    rule.beyond_region_most = a.beyond_region_most.min(b.beyond_region_most);
    if a.when_lost == WhenLost::Refuse {
        rule.when_lost = WhenLost::Refuse;
    }
    rule
}

//! What of two sets of rules contradicts, and the strictest reading of both: whatever it allows, each of them does.
//!
//! | clause | contradict when | strictest reading |
//! | --- | --- | --- |
//! | `never` | it forbids other zones | what either forbids |
//! | `beyond region at most` | it differs | the lesser |
//! | `when lost` | it differs | `refuse` |
//! | `prefer`, `spill`, names | never: they say where first, not what may happen | the second's |
//!
//! Both are looked at by class and tenant, since a rule may have another name, another place or other requests in either. They have
//! to be over the same names in the same order: zones, classes and tenants. Beyond the tables, the rules for whatever nobody
//! knows are looked at too.

use crate::rules::{MAX_RULES, Rule, Rules, WhenLost};
use std::collections::BTreeMap;

/// The most contradictions that are told; one more says that there are others.
pub const MAX_CONTRADICTIONS: usize = 64;

/// What of two sets of rules may not be acted on at the same time, in words; empty: they may stand side by side.
pub fn contradictions(a: &Rules, b: &Rules, classes: &[String], tenants: &[String]) -> Vec<String> {
    // Cells of one pair of rules differ alike: the first stands for them.
    let mut pairs = BTreeMap::new();
    for (cell, pair) in cells(a, b) {
        pairs.entry(pair).or_insert((cell, 0usize)).1 += 1;
    }
    let mut found = Vec::new();
    for ((x, y), (cell, count)) in pairs {
        let (x, y) = (&a.all()[x], &b.all()[y]);
        let differ = differences(x, y);
        if differ.is_empty() {
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
        found.push(format!("{rule}{}: {}", whose(cell, count, classes, tenants), differ.join(", ")));
    }
    found
}

fn whose(cell: Option<(usize, usize)>, count: usize, classes: &[String], tenants: &[String]) -> String {
    let Some((class, tenant)) = cell else { return " (classes and tenants that nobody knows)".into() };
    let name = |kind: &str, names: &[String], n| names.get(n).map(|name: &String| format!("{kind} {name}"));
    let names: Vec<String> =
        [name("class", classes, class), name("tenant", tenants, tenant)].into_iter().flatten().collect();
    let more = if count > 1 { format!(" and {} more", count - 1) } else { String::new() };
    if names.is_empty() { String::new() } else { format!(" ({}{more})", names.join(", ")) }
}

fn differences(a: &Rule, b: &Rule) -> Vec<String> {
    let mut differ = Vec::new();
    if a.never != b.never {
        differ.push("never forbids other zones".into());
    }
    if a.beyond_region_most != b.beyond_region_most {
        let percent = |rule: &Rule| (rule.beyond_region_most * 1e6).round() / 1e4;
        differ.push(format!("beyond region at most {}% and {}%", percent(a), percent(b)));
    }
    if a.when_lost != b.when_lost {
        let word = |rule: &Rule| if rule.when_lost == WhenLost::Refuse { "refuse" } else { "anywhere" };
        differ.push(format!("when lost {} and {}", word(a), word(b)));
    }
    differ
}

/// A class and a tenant by position, or whatever there is not; and its rules in either.
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

/// What either forbids is forbidden, and so on by the table above; where requests go is as the second says.
///
/// A rule of the second that comes together with several of the first becomes several, as far as they differ in what they forbid.
/// Should these be more than [`MAX_RULES`], each rule of the second is as strict as all that it comes together with.
pub fn strictest(a: &Rules, b: &Rules) -> Rules {
    let mut pairs: BTreeMap<(usize, usize), Rule> = BTreeMap::new();
    for (_, (x, y)) in cells(a, b) {
        pairs.entry((y, x)).or_insert_with(|| stricter(&a.all()[x], &b.all()[y]));
    }
    let mut made = distinct(&pairs, b);
    if made.len() > MAX_RULES {
        let mut by_second: BTreeMap<usize, Rule> = BTreeMap::new();
        for (y, x) in pairs.keys() {
            let so_far = by_second.entry(*y).or_insert_with(|| b.all()[*y].clone());
            *so_far = as_strict(&a.all()[*x], so_far);
        }
        for (y, rule) in &mut by_second {
            if *rule != b.all()[*y] {
                rule.name = format!("{} with all", rule.name);
            }
        }
        for (key, rule) in &mut pairs {
            rule.clone_from(&by_second[&key.0]);
        }
        made = distinct(&pairs, b);
    }
    // The rule for whatever there is not is the last.
    let last = (b.all().len() - 1, a.all().len() - 1);
    if let Some(n) = pairs.get(&last).and_then(|last| made.iter().position(|rule| rule == last)) {
        let rule = made.remove(n);
        made.push(rule);
    }
    let (table, tenants) = b.table();
    let (a_table, a_tenants) = a.table();
    let tenants = tenants.max(a_tenants);
    let rows = |table: &[u16], tenants: usize| table.len().checked_div(tenants).unwrap_or(0);
    let classes = rows(table, b.table().1).max(rows(a_table, a_tenants));
    let at: BTreeMap<(usize, usize), usize> = pairs
        .iter()
        .filter_map(|(key, rule)| made.iter().position(|other| other == rule).map(|n| (*key, n)))
        .collect();
    let last = made.len() - 1;
    let rule_of = |class, tenant| {
        at.get(&(b.rule_index(class, tenant), a.rule_index(class, tenant))).copied().unwrap_or(last)
    };
    Rules::new(made, classes, tenants, rule_of)
}

/// Rules of pairs in the order of the second's, each once; those of the second that come together with none stand as they are.
fn distinct(pairs: &BTreeMap<(usize, usize), Rule>, b: &Rules) -> Vec<Rule> {
    let mut made: Vec<Rule> = Vec::new();
    for (y, rule) in b.all().iter().enumerate() {
        let start = made.len();
        for (_, rule) in pairs.range((y, 0)..=(y, usize::MAX)) {
            if !made[start..].contains(rule) {
                made.push(rule.clone());
            }
        }
        if made.len() == start {
            made.push(rule.clone());
        }
    }
    made
}

/// As strict as both; it keeps `b`'s name if nothing had to be made stricter, so that no name is there twice.
fn stricter(a: &Rule, b: &Rule) -> Rule {
    let mut rule = as_strict(a, b);
    if rule != *b {
        rule.name = format!("{} with {}", b.name, a.name);
    }
    rule
}

fn as_strict(a: &Rule, b: &Rule) -> Rule {
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

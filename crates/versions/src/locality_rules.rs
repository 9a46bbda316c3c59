//! Conflicts between the locality rules of two versions, and the strictest reading of both. Rules are compared by the names of classes,
//! tenants and zones, since two versions may number these differently.
//!
//! Only what a rule forbids can conflict: `never`, `beyond region at most`, `when lost`. Preferences and thresholds say how well
//! requests are routed, not what may happen; those of the new version hold.

use maplehook_config::{Places, Proxy};
use maplehook_locality::contradict;
use maplehook_locality::{Rule, Rules, Topology, Zone};

/// Returns the names of tenants as rules number them. A version without tenants has one without a name.
fn tenant_names(proxy: &Proxy) -> Vec<String> {
    if proxy.tenants.is_empty() { vec![String::new()] } else { proxy.tenants.clone() }
}

/// Returns a rule that forbids nothing.
fn unrestricted_rule() -> Rule {
    Rule { name: "free".into(), ..Rule::near_first() }
}

/// Returns the rules of a version that has none.
fn unrestricted_rules(proxy: &Proxy) -> Rules {
    Rules::new(vec![unrestricted_rule()], proxy.classes.len(), tenant_names(proxy).len(), |_, _| 0)
}

/// Returns the rules `places` of the version `from` with the numbers of the version `to`. What `from` does not name is unrestricted.
fn renumbered(places: &Places, from: &Proxy, to: &Proxy, topology: &Topology) -> Rules {
    let renumber_zone = |zone: &Zone| topology.zone(places.topology.zone_name(*zone));
    let renumber_rule = |rule: &Rule| {
        let mut never: Vec<Zone> = rule.never.iter().filter_map(renumber_zone).collect();
        never.sort();
        Rule { never, ..rule.clone() }
    };
    let mut rules: Vec<Rule> = places.rules.all().iter().map(renumber_rule).collect();
    let unrestricted = rules.len();
    rules.push(unrestricted_rule());
    let (classes, tenants) = (&to.classes, tenant_names(to));
    let from_tenants = tenant_names(from);
    let position = |names: &[String], name: &String| names.iter().position(|known| known == name);
    Rules::new(rules, classes.len(), tenants.len(), |class, tenant| {
        let class = position(&from.classes, &classes[class]);
        let tenant = position(&from_tenants, &tenants[tenant]);
        class.zip(tenant).map_or(unrestricted, |(class, tenant)| places.rules.rule_index(class, tenant))
    })
}

/// Describes what conflicts between the rules of two versions.
pub fn conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
    let Some(topology) = b.places.as_ref().or(a.places.as_ref()).map(|places| &places.topology) else {
        return Vec::new();
    };
    let rules_of = |proxy: &Proxy| match &proxy.places {
        Some(places) => renumbered(places, proxy, b, topology),
        None => unrestricted_rules(b),
    };
    contradict::contradictions(&rules_of(a), &rules_of(b), &b.classes, &tenant_names(b))
}

/// Returns the strictest reading of both versions' rules with the numbers of the new one; `None` if neither has rules.
pub fn strictest(old: &Proxy, new: &Proxy) -> Option<Places> {
    match (&old.places, &new.places) {
        (None, None) => None,
        (None, Some(places)) => Some(places.clone()),
        (Some(places), None) => {
            let rules = renumbered(places, old, new, &places.topology);
            Some(Places { rules, ..places.clone() })
        }
        (Some(old_places), Some(places)) => {
            let old_rules = renumbered(old_places, old, new, &places.topology);
            Some(Places { rules: contradict::strictest(&old_rules, &places.rules), ..places.clone() })
        }
    }
}

#[cfg(test)]
mod tests;

//! What of two versions' places contradicts, and the strictest reading of both: rules by the names of classes, tenants and zones,
//! since two versions may number them differently.
//!
//! What contradicts is what forbids: `never`, `beyond region at most`, `when lost`. Preferences and thresholds say how well, not what
//! may happen: the new one's hold.

use maplehook_config::{Places, Proxy};
use maplehook_locality::contradict;
use maplehook_locality::{Rule, Rules, Topology, Zone};

/// The names of tenants as rules count them: where none has a name there is one that has none.
fn tenants(proxy: &Proxy) -> Vec<String> {
    if proxy.tenants.is_empty() { vec![String::new()] } else { proxy.tenants.clone() }
}

/// A rule that forbids nothing.
fn unrestricted_rule() -> Rule {
    Rule { name: "free".into(), ..Rule::near_first() }
}

/// One version's rules under another's numbers. What it does not name is free.
fn renumbered(places: &Places, of: &Proxy, proxy: &Proxy, topology: &Topology) -> Rules {
    let zone = |old: &Zone| topology.zone(places.topology.zone_name(*old));
    let mut rules: Vec<Rule> = places
        .rules
        .all()
        .iter()
        .map(|rule| {
            let mut never: Vec<Zone> = rule.never.iter().filter_map(zone).collect();
            never.sort();
            Rule { never, ..rule.clone() }
        })
        .collect();
    rules.push(unrestricted_rule());
    let last = rules.len() - 1;
    let (classes, names) = (&proxy.classes, tenants(proxy));
    let (old_classes, old_tenants) = (&of.classes, tenants(of));
    let position = |names: &[String], name: &String| names.iter().position(|known| known == name);
    Rules::new(rules, classes.len(), names.len(), |class, tenant| {
        let class = position(old_classes, &classes[class]);
        let tenant = position(&old_tenants, &names[tenant]);
        class.zip(tenant).map_or(last, |(class, tenant)| places.rules.of(class, tenant))
    })
}

/// Rules that forbid nothing, for whoever has none.
fn unrestricted_rules(proxy: &Proxy) -> Rules {
    Rules::new(vec![unrestricted_rule()], proxy.classes.len(), tenants(proxy).len(), |_, _| 0)
}

/// What contradicts, in words.
pub fn conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
    let Some(topology) = b.places.as_ref().or(a.places.as_ref()).map(|places| &places.topology) else {
        return Vec::new();
    };
    let of = |proxy: &Proxy| {
        proxy
            .places
            .as_ref()
            .map_or_else(|| unrestricted_rules(b), |places| renumbered(places, proxy, b, topology))
    };
    contradict::contradictions(&of(a), &of(b), &b.classes, &tenants(b))
}

/// The strictest reading, under the second one's numbers; `None` where neither has places.
pub fn strictest(old: &Proxy, new: &Proxy) -> Option<Places> {
    match (&old.places, &new.places) {
        (None, None) => None,
        (None, Some(places)) => Some(places.clone()),
        (Some(places), None) => {
            let rules = renumbered(places, old, new, &places.topology);
            Some(Places { rules, ..places.clone() })
        }
        (Some(before), Some(places)) => {
            let old_rules = renumbered(before, old, new, &places.topology);
            Some(Places { rules: contradict::strictest(&old_rules, &places.rules), ..places.clone() })
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_locality::WhenLost;

    fn proxy(classes: &[&str], rules: &str) -> Proxy {
        let mut text = "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nzone = 'a'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n"
            .to_owned();
        for class in classes {
            text += &format!("[[class]]\nname = '{class}'\npath = '/{class}/**'\n");
        }
        if !rules.is_empty() {
            text += "[[region]]\nname = 'n'\nzones = ['a', 'b']\n[[region]]\nname = 's'\nzones = ['c']\n";
            text += &format!("[locality]\nrules = '''{rules}'''\n");
        }
        maplehook_config::parse(&text).unwrap().proxy.unwrap()
    }

    #[test]
    fn what_either_forbids_is_forbidden_whatever_the_numbers_of_classes_are() {
        let old = proxy(
            &["look", "book"],
            "rule x { for class \"book\"; prefer own zone > anywhere; never zone \"c\"; when lost refuse; }",
        );
        let new = proxy(
            &["book", "look"],
            "rule y { prefer own zone > anywhere; beyond region at most 30%; when lost anywhere; }",
        );
        assert!(!conflicts(&old, &new).is_empty());
        let strict = strictest(&old, &new).unwrap();
        let (book, look) = (strict.rules.of(0, 0), strict.rules.of(1, 0));
        let (book, look) = (&strict.rules.all()[book], &strict.rules.all()[look]);
        assert_eq!(book.never, [strict.topology.zone("c").unwrap()]);
        assert_eq!((book.when_lost, book.beyond_region_most), (WhenLost::Refuse, 0.3));
        assert!(look.never.is_empty(), "the old rule was not for it");
    }

    #[test]
    fn rules_that_are_taken_away_hold_until_all_know() {
        let old = proxy(&["book"], "rule x { prefer own zone > anywhere; never zone \"c\"; }");
        let new = proxy(&["look", "book"], "");
        assert!(new.places.is_none());
        assert!(!conflicts(&old, &new).is_empty());
        let strict = strictest(&old, &new).unwrap();
        let rule = |class: usize| &strict.rules.all()[strict.rules.of(class, 0)];
        assert_eq!((rule(0).never.len(), rule(1).never.len()), (0, 1));
        assert!(conflicts(&new, &new).is_empty() && strictest(&new, &new).is_none());
        assert!(conflicts(&old, &old).is_empty());
    }
}

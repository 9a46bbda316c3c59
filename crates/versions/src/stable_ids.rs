//! Numbers of classes, tenants and zones for the life of a process: a request under way means the same before a change and after
//! it, whatever a version puts first.

use maplehook_config::Proxy;
use maplehook_core::{Class, ClassId, Settings, Tenant, TenantId, ZoneId};
use maplehook_http_semantics::{Passage, Route, Rules};

/// Names that have numbers.
#[derive(Debug, Default)]
pub struct StableIds {
    classes: Vec<(String, Class, Passage)>,
    tenants: Vec<String>,
    zones: Vec<String>,
}

/// A version's rules, under this process's numbers.
pub struct ResolvedRules {
    /// The decision module's settings.
    pub settings: Settings,
    /// The names of the classes, by their numbers.
    pub class_names: Vec<String>,
    /// How heads are read.
    pub rules: Rules,
    /// How messages of each class pass.
    pub passages: Vec<Passage>,
    /// The names of the tenants, by their numbers.
    pub tenant_names: Vec<String>,
    /// The numbers of the version's zones.
    pub zone_ids: Vec<ZoneId>,
    /// The names of all zones that there were, by their numbers.
    pub zone_names: Vec<String>,
    /// Tenants that it does not name any more.
    pub removed_tenants: Vec<TenantId>,
}

fn position_or_insert(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

impl ResolvedRules {
    /// This process's number of one of the version's zones.
    pub fn zone_id(&self, zone: ZoneId) -> ZoneId {
        self.zone_ids.get(usize::from(zone.0)).copied().unwrap_or(zone)
    }
}

impl StableIds {
    /// Names that stay keep their numbers; of what has vanished the number stays, and nothing comes under it.
    pub fn assign(&mut self, proxy: &Proxy) -> ResolvedRules {
        let mut of = Vec::new();
        for (k, name) in proxy.classes.iter().enumerate() {
            let class = (name.clone(), proxy.settings.classes[k].clone(), proxy.passages[k].clone());
            match self.classes.iter().position(|(known, ..)| known == name) {
                Some(n) => {
                    self.classes[n] = class;
                    of.push(n);
                }
                None => {
                    self.classes.push(class);
                    of.push(self.classes.len() - 1);
                }
            }
        }
        let route =
            |route: &Route| Route { class: ClassId(of[usize::from(route.class.0)] as u16), ..route.clone() };
        // Where no tenant has a name there is one that has none.
        let unnamed = [String::new()];
        let named = if proxy.tenants.is_empty() { &unnamed[..] } else { &proxy.tenants };
        let numbers: Vec<usize> =
            named.iter().map(|name| position_or_insert(&mut self.tenants, name)).collect();
        let mut tenants = vec![Tenant { allowance_per_s: 0.0 }; self.tenants.len()];
        for (n, tenant) in numbers.iter().zip(&proxy.settings.tenants) {
            tenants[*n] = tenant.clone();
        }
        let gone = (0..tenants.len()).filter(|n| !numbers.contains(n)).map(|n| TenantId(n as u32)).collect();
        // A name that nobody can utter keeps a place that nobody comes to.
        let utterable = |(n, name): (usize, &String)| {
            if numbers.contains(&n) { name.clone() } else { format!("\u{0}{name}") }
        };
        let names: Vec<String> = if proxy.tenants.is_empty() && self.tenants.len() == 1 {
            Vec::new()
        } else {
            self.tenants.iter().enumerate().map(utterable).collect()
        };
        let zones = proxy
            .zones
            .iter()
            .map(|name| ZoneId(position_or_insert(&mut self.zones, name).min(255) as u8))
            .collect();
        let classes = self.classes.iter().map(|(_, class, _)| class.clone()).collect();
        ResolvedRules {
            settings: Settings { classes, tenants, ..proxy.settings.clone() },
            class_names: self.classes.iter().map(|(name, ..)| name.clone()).collect(),
            rules: Rules::new(proxy.routes.iter().map(route).collect(), names, proxy.headers.clone()),
            passages: self.classes.iter().map(|(.., passage)| passage.clone()).collect(),
            tenant_names: self.tenants.clone(),
            zone_ids: zones,
            zone_names: self.zones.clone(),
            removed_tenants: gone,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn proxy(classes: &[&str], tenants: &[&str]) -> Proxy {
        let mut text =
            "[listen]\naddress = '127.0.0.1:0'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n"
                .to_owned();
        for name in classes {
            text += &format!("[[class]]\nname = '{name}'\npath = '/{name}/**'\n");
        }
        for name in tenants {
            text += &format!("[[tenant]]\nname = '{name}'\n");
        }
        maplehook_config::parse(&text).unwrap().proxy.unwrap()
    }

    fn some() -> impl Strategy<Value = Vec<&'static str>> {
        let names = vec!["a", "b", "c", "d"];
        prop::sample::subsequence(names, 1..=4).prop_shuffle()
    }

    proptest! {
        /// Whatever versions follow one another: a name has one number for good, and what has vanished has no part.
        #[test]
        fn a_name_keeps_its_number(versions in prop::collection::vec((some(), some()), 1..8)) {
            let mut numbers = StableIds::default();
            let mut known: Vec<String> = Vec::new();
            let mut tenants: std::collections::BTreeMap<String, usize> = Default::default();
            for (classes, named) in &versions {
                let numbered = numbers.assign(&proxy(classes, named));
                prop_assert_eq!(&numbered.class_names[..known.len()], &known[..]);
                known.clone_from(&numbered.class_names);
                prop_assert_eq!(numbered.settings.classes.len(), known.len());
                prop_assert_eq!(numbered.passages.len(), known.len());
                for (n, name) in numbers.tenants.iter().enumerate() {
                    prop_assert_eq!(*tenants.entry(name.clone()).or_insert(n), n, "tenant {}", name);
                    let gone = numbered.removed_tenants.contains(&TenantId(n as u32));
                    prop_assert_eq!(gone, !named.contains(&name.as_str()));
                }
                for gone in &numbered.removed_tenants {
                    prop_assert_eq!(numbered.settings.tenants[gone.0 as usize].allowance_per_s, 0.0);
                }
            }
        }
    }
}

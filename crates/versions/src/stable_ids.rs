//! Ids of classes, tenants and zones that stay the same for the life of a process: a request that is under way means the same before
//! and after a change of version, in whatever order a version names them.

use maplehook_config::Proxy;
use maplehook_core::{Class, ClassId, Settings, Tenant, TenantId, ZoneId};
use maplehook_http_semantics::{Passage, Route, Rules};

/// The names that have ids. The id of a name is its position.
#[derive(Debug, Default)]
pub struct StableIds {
    classes: Vec<(String, Class, Passage)>,
    tenants: Vec<String>,
    zones: Vec<String>,
}

/// A version's rules with the ids of this process.
pub struct ResolvedRules {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of all classes that there have been, by their ids.
    pub class_names: Vec<String>,
    /// How request heads are classified.
    pub rules: Rules,
    /// How messages of each class are forwarded, by the ids of classes.
    pub passages: Vec<Passage>,
    /// The names of all tenants that there have been, by their ids.
    pub tenant_names: Vec<String>,
    /// The ids of the version's zones, in the order in which the version names them.
    pub zone_ids: Vec<ZoneId>,
    /// The names of all zones that there have been, by their ids.
    pub zone_names: Vec<String>,
    /// The tenants that the version does not name any more.
    pub removed_tenants: Vec<TenantId>,
}

impl ResolvedRules {
    /// Returns this process's id of one of the version's zones.
    pub fn zone_id(&self, zone: ZoneId) -> ZoneId {
        self.zone_ids.get(usize::from(zone.0)).copied().unwrap_or(zone)
    }
}

/// The tenants of a version with the ids of this process.
struct AssignedTenants {
    /// The settings of all tenants, by their ids; those of removed ones guarantee nothing.
    settings: Vec<Tenant>,
    /// The names by which requests are assigned to tenants.
    names: Vec<String>,
    removed: Vec<TenantId>,
}

impl StableIds {
    /// Assigns ids to what a version names. A name keeps its id for good. The id of a name that the version lacks stays unused.
    pub fn assign(&mut self, proxy: &Proxy) -> ResolvedRules {
        let class_ids = self.assign_classes(proxy);
        let tenants = self.assign_tenants(proxy);
        let zones = proxy.zones.iter();
        let zone_ids =
            zones.map(|name| ZoneId(position_or_insert(&mut self.zones, name).min(255) as u8)).collect();
        let renumber =
            |route: &Route| Route { class: class_ids[usize::from(route.class.0)], ..route.clone() };
        let routes = proxy.routes.iter().map(renumber).collect();
        let classes = self.classes.iter().map(|(_, class, _)| class.clone()).collect();
        ResolvedRules {
            settings: Settings { classes, tenants: tenants.settings, ..proxy.settings.clone() },
            class_names: self.classes.iter().map(|(name, ..)| name.clone()).collect(),
            rules: Rules::new(routes, tenants.names, proxy.headers.clone()),
            passages: self.classes.iter().map(|(.., passage)| passage.clone()).collect(),
            tenant_names: self.tenants.clone(),
            zone_ids,
            zone_names: self.zones.clone(),
            removed_tenants: tenants.removed,
        }
    }

    /// Returns the ids of the version's classes, in the order in which the version names them.
    fn assign_classes(&mut self, proxy: &Proxy) -> Vec<ClassId> {
        let mut ids = Vec::new();
        for (index, name) in proxy.classes.iter().enumerate() {
            let class = (name.clone(), proxy.settings.classes[index].clone(), proxy.passages[index].clone());
            let position = match self.classes.iter().position(|(known, ..)| known == name) {
                Some(position) => {
                    self.classes[position] = class;
                    position
                }
                None => {
                    self.classes.push(class);
                    self.classes.len() - 1
                }
            };
            ids.push(ClassId(position as u16));
        }
        ids
    }

    fn assign_tenants(&mut self, proxy: &Proxy) -> AssignedTenants {
        // A version without tenants has one without a name.
        let unnamed = [String::new()];
        let named = if proxy.tenants.is_empty() { &unnamed[..] } else { &proxy.tenants };
        let ids: Vec<usize> = named.iter().map(|name| position_or_insert(&mut self.tenants, name)).collect();
        let mut settings = vec![Tenant { allowance_per_s: 0.0 }; self.tenants.len()];
        for (id, tenant) in ids.iter().zip(&proxy.settings.tenants) {
            settings[*id] = tenant.clone();
        }
        let removed =
            (0..settings.len()).filter(|id| !ids.contains(id)).map(|id| TenantId(id as u32)).collect();
        // A removed tenant keeps its place under a name that no request can contain.
        let name_in_requests = |(id, name): (usize, &String)| {
            if ids.contains(&id) { name.clone() } else { format!("\u{0}{name}") }
        };
        let names = if proxy.tenants.is_empty() && self.tenants.len() == 1 {
            Vec::new()
        } else {
            self.tenants.iter().enumerate().map(name_in_requests).collect()
        };
        AssignedTenants { settings, names, removed }
    }
}

/// Returns the position of a name, which is appended if it is unknown.
fn position_or_insert(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

#[cfg(test)]
mod tests;

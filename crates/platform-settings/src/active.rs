//! The settings in force of a process, and their change while it runs: which new texts are turned down, and
//! which id each name keeps.
//!
//! A class or tenant keeps its id, so that a request in flight means the same before and after a change. A
//! class or tenant that was removed keeps its id for [`ID_REUSE_DELAY`]; then another one may get it.

use crate::convert::{IdNames, PlatformSettings};
use crate::error::SettingsParseError;
use crate::validation::{MAX_IDS, check_required_keys, parse_validated, parse_value};
use maplehook_core::{Class, ClassId, Settings, Tenant, TenantId};
use serde_json::Value;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// How long the id of a removed class or tenant is not given to another: no request uses it by then.
const ID_REUSE_DELAY: Duration = Duration::from_secs(7200);

/// The names of the ids of classes or tenants.
#[derive(Clone, Debug, Default, PartialEq)]
struct IdTable {
    names: Vec<String>,
    /// By id: since when there has been no such class or tenant.
    removed_at: Vec<Option<Duration>>,
}

impl IdTable {
    fn new(names: &[String]) -> Self {
        Self { names: names.to_vec(), removed_at: vec![None; names.len()] }
    }

    /// Returns the ids in use.
    fn active(&self) -> impl Iterator<Item = usize> {
        (0..self.names.len()).filter(|id| self.removed_at[*id].is_none())
    }

    /// Returns the ids that are not in use.
    fn removed(&self) -> impl Iterator<Item = usize> {
        (0..self.names.len()).filter(|id| self.removed_at[*id].is_some())
    }

    /// Puts these names in use, and no others. Returns the id of each, or `None` if there are too many.
    fn assign(&mut self, now: Duration, names: &[String]) -> Option<Vec<usize>> {
        // A name that is not listed again is removed now, or stays removed since then.
        self.removed_at.iter_mut().for_each(|removed_at| *removed_at = Some(removed_at.unwrap_or(now)));
        let known = |name: &String| self.names.iter().position(|known| known == name);
        let known_ids: Vec<Option<usize>> = names.iter().map(known).collect();
        // Before a free id is given away, all names that are known have theirs.
        known_ids.iter().flatten().for_each(|id| self.removed_at[*id] = None);
        let mut ids = Vec::with_capacity(names.len());
        for (known_id, name) in known_ids.into_iter().zip(names) {
            let id = known_id.or_else(|| self.free_id(now))?;
            self.names[id].clone_from(name);
            self.removed_at[id] = None;
            ids.push(id);
        }
        Some(ids)
    }

    /// Returns an id that may be given to a new name: one that was removed long ago, or a new one.
    fn free_id(&mut self, now: Duration) -> Option<usize> {
        let is_free = |removed_at: &Option<Duration>| removed_at.is_some_and(|at| now >= at + ID_REUSE_DELAY);
        let free = self.removed_at.iter().position(is_free);
        free.or_else(|| {
            (self.names.len() < MAX_IDS).then(|| {
                self.names.push(String::new());
                self.removed_at.push(None);
                self.names.len() - 1
            })
        })
    }
}

/// The settings in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveSettings {
    /// By id; a class or tenant that was removed stays as it last was.
    current: PlatformSettings,
    classes: IdTable,
    tenants: IdTable,
    /// The object, for the keys that a new one has to have.
    reference: Value,
}

impl ActiveSettings {
    /// Reads the settings of a process that starts, from a text at `path` in its file.
    ///
    /// # Errors
    ///
    /// Names what is wrong with the text, by its keys.
    pub fn new(text: &str, path: &str) -> Result<Self, SettingsParseError> {
        let reference = parse_value(text, path)?;
        let current = parse_validated(text, &reference, path)?;
        let classes = IdTable::new(&current.names.classes);
        let tenants = IdTable::new(&current.names.tenants);
        Ok(Self { current, classes, tenants, reference })
    }

    /// Returns the settings, by id.
    pub fn current(&self) -> &PlatformSettings {
        &self.current
    }

    /// Returns the classes that exist.
    pub fn classes(&self) -> impl Iterator<Item = (ClassId, &str, &Class)> {
        let classes = &self.current.settings.classes;
        self.classes.active().map(|id| (ClassId(id as u16), &*self.classes.names[id], &classes[id]))
    }

    /// Returns the tenants that exist.
    pub fn tenants(&self) -> impl Iterator<Item = (TenantId, &str)> {
        self.tenants.active().map(|id| (TenantId(id as u32), &*self.tenants.names[id]))
    }

    /// Returns the tenants that exist no longer.
    pub fn removed_tenants(&self) -> Vec<TenantId> {
        self.tenants.removed().map(|id| TenantId(id as u32)).collect()
    }

    /// Returns these settings after a change to a text at `path` in its file. The text is taken whole, or not
    /// at all.
    ///
    /// # Errors
    ///
    /// Names what is wrong with the text, by its keys; a key that stood in the text before may not be missing.
    pub fn updated(&self, now: Duration, text: &str, path: &str) -> Result<Self, SettingsParseError> {
        let value = parse_value(text, path)?;
        check_required_keys(&self.reference, &value, path)?;
        let new = parse_validated(text, &value, path)?;
        let too_many = |key: &str| SettingsParseError::new(format!("{path}.{key}"), "too many");
        let (mut classes, mut tenants) = (self.classes.clone(), self.tenants.clone());
        let class_ids = classes.assign(now, &new.names.classes).ok_or_else(|| too_many("classes"))?;
        let tenant_ids = tenants.assign(now, &new.names.tenants).ok_or_else(|| too_many("parties"))?;
        let settings = Settings {
            classes: self.classes_by_id(classes.names.len(), class_ids, new.settings.classes),
            tenants: tenants_by_id(tenants.names.len(), tenant_ids, new.settings.tenants),
            ..new.settings
        };
        let names = IdNames { classes: classes.names.clone(), tenants: tenants.names.clone(), ..new.names };
        let current = PlatformSettings { settings, names };
        Ok(Self { current, classes, tenants, reference: value })
    }

    /// Returns the classes by id; one that was removed stays as it is.
    fn classes_by_id(&self, count: usize, ids: Vec<usize>, new: Vec<Class>) -> Vec<Class> {
        let mut classes = self.current.settings.classes.clone();
        classes.resize_with(count, Class::default);
        ids.into_iter().zip(new).for_each(|(id, class)| classes[id] = class);
        classes
    }
}

/// Returns the tenants by id; one that was removed has no part in what is granted.
fn tenants_by_id(count: usize, ids: Vec<usize>, new: Vec<Tenant>) -> Vec<Tenant> {
    let mut tenants = vec![Tenant { allowance_per_s: 0.0 }; count];
    ids.into_iter().zip(new).for_each(|(id, tenant)| tenants[id] = tenant);
    tenants
}

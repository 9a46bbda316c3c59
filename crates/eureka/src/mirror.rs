//! The registry's list as this client has it: the whole of it, and the changes since, held against the hash.

use crate::model::{Action, Document, Listed, hash};
use std::collections::BTreeMap;

/// What is read of a registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum What {
    /// All applications, and then their changes.
    #[default]
    All,
    /// One application, whole each time.
    App(String),
    /// One VIP, whole each time.
    Vip(String),
}

impl What {
    /// What is asked for to have it whole.
    pub fn whole(&self) -> String {
        match self {
            Self::All => "/apps".into(),
            Self::App(app) => format!("/apps/{app}"),
            Self::Vip(vip) => format!("/vips/{vip}"),
        }
    }
}

/// What a document of changes comes to.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// The list agrees with the registry's, after these changes and deletions.
    Agreed {
        /// Instances that are new or differ.
        changed: Vec<Listed>,
        /// Keys and versions of those that are no more.
        deleted: Vec<(String, u64)>,
    },
    /// It does not: the whole list is needed.
    Disagreed,
}

/// The list.
#[derive(Debug, Default)]
pub struct Mirror {
    listed: BTreeMap<String, Listed>,
    /// The list is whole, and changes may be made to it.
    whole: bool,
}

impl Mirror {
    /// Whether changes are of use.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// The whole list is needed again.
    pub fn forget(&mut self) {
        self.whole = false;
    }

    /// Takes a whole list in; whether its own hash, if it has one, is that of what came.
    pub fn whole(&mut self, document: &Document) -> bool {
        let listed = document.instances.iter().map(|l| (l.instance.key.clone(), l.clone()));
        self.listed = listed.collect();
        self.whole = true;
        let own = hash(document.instances.iter().map(|l| l.status.as_str()));
        // What could not be read is in the registry's hash and not in ours.
        document.skipped > 0 || document.hash.as_ref().is_none_or(|hash| *hash == own)
    }

    /// Makes changes to it.
    pub fn change(&mut self, document: Document) -> Step {
        let (mut changed, mut deleted) = (BTreeMap::new(), Vec::new());
        for listed in document.instances {
            let key = listed.instance.key.clone();
            let before = self.listed.get(&key);
            // Changes are listed for minutes: older ones again and again.
            if before.is_some_and(|before| before.instance.version > listed.instance.version) {
                continue;
            }
            if listed.action == Some(Action::Deleted) {
                if self.listed.remove(&key).is_some() {
                    changed.remove(&key);
                    deleted.push((key, listed.instance.version));
                }
                continue;
            }
            let same = |a: &Listed| a.instance == listed.instance && a.status == listed.status;
            if before.is_none_or(|before| !same(before)) {
                self.listed.insert(key.clone(), listed.clone());
                deleted.retain(|(gone, _)| *gone != key);
                changed.insert(key, listed);
            }
        }
        let own = hash(self.listed.values().map(|l| l.status.as_str()));
        if document.hash.is_some_and(|hash| hash != own) {
            self.whole = false;
            return Step::Disagreed;
        }
        Step::Agreed { changed: changed.into_values().collect(), deleted }
    }
}

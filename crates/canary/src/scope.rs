//! Which requests a test is about: all of them, those of one class, or those of one tenant.

use crate::report::RequestGroup;
use std::fmt;

/// The requests that a test is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    All,
    Class(String),
    Tenant(String),
}

impl Scope {
    /// Whether requests of this group belong to the scope.
    pub(crate) fn contains(&self, group: &RequestGroup) -> bool {
        match self {
            Self::All => true,
            Self::Class(class) => group.class == *class,
            Self::Tenant(tenant) => group.tenant == *tenant,
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str("all requests"),
            Self::Class(class) => write!(f, "class {class}"),
            Self::Tenant(tenant) => write!(f, "tenant {tenant}"),
        }
    }
}

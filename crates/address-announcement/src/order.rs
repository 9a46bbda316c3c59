//! Operators' orders and the reasons for which they are rejected.

use crate::decide::Decider;
use crate::state::State;
use crate::{Announce, one};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of an operator's name in characters; longer names are truncated.
pub const MAX_OPERATOR_NAME_CHARS: usize = 64;

/// Operator's order that changes which sites may announce an address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Moves an address of kind `One` to another site.
    Move {
        /// Name of the address.
        name: String,
        /// Name of the site that will hold the address.
        site: String,
        /// Name of the operator.
        by: String,
        /// Moves the address even if the site is unhealthy.
        anyway: bool,
    },
    /// Withdraws an address from a site until the site is restored.
    Withdraw {
        /// Name of the address.
        name: String,
        /// Name of the site to withdraw.
        site: String,
        /// Name of the operator.
        by: String,
        /// Withdraws the site even if too few healthy sites would remain.
        anyway: bool,
    },
    /// Allows a withdrawn site to announce the address again.
    Restore {
        /// Name of the address.
        name: String,
        /// Name of the site to restore.
        site: String,
        /// Name of the operator.
        by: String,
    },
}

/// Reason why an order was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The address is not configured, or no state has been agreed for it yet. Holds the address name.
    NoAddress(String),
    /// The address does not have this site.
    NoSite(String),
    /// The site already has the requested status.
    NoChange(String),
    /// The address is announced by many sites, so it cannot be moved. Holds the address name.
    NotMovable(String),
    /// The site has been withdrawn by an operator and must be restored first.
    Withdrawn {
        /// Name of the withdrawn site.
        site: String,
        /// Name of the operator who withdrew the site.
        by: String,
    },
    /// The site is unhealthy or out of touch; `anyway` overrides this.
    Unhealthy(String),
    /// Too few healthy sites would remain; `anyway` overrides this.
    TooFew {
        /// Number of healthy sites that would remain.
        remaining: usize,
        /// Minimum number of sites that must remain.
        required: usize,
    },
    /// No other site could announce the address.
    LastSite(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress(name) => {
                write!(f, "address {name:?} is not configured, or no state has been agreed for it yet")
            }
            Self::NoSite(site) => write!(f, "the address has no site {site:?}"),
            Self::NoChange(site) => write!(f, "site {site} already has the requested status"),
            Self::NotMovable(name) => {
                write!(f, "address {name} is announced by many sites: withdraw and restore sites instead")
            }
            Self::Withdrawn { site, by } => write!(f, "site {site} was withdrawn by {by}: restore it first"),
            Self::Unhealthy(site) => {
                write!(f, "site {site} is unhealthy or out of touch; --anyway overrides this")
            }
            Self::TooFew { remaining, required } => {
                write!(
                    f,
                    "{remaining} healthy sites would remain, {required} are required; --anyway overrides this"
                )
            }
            Self::LastSite(site) => write!(f, "{site} is the only site that may still announce the address"),
        }
    }
}

impl std::error::Error for OrderError {}

fn truncate_name(by: &str) -> String {
    by.chars().take(MAX_OPERATOR_NAME_CHARS).collect()
}

impl Decider {
    /// Returns the state that results from an order, based on the site health of the last tick. The caller
    /// proposes this state like the one of a tick. If another state is agreed first, the order must be given
    /// again.
    pub fn order(&self, order: &Order) -> Result<State, OrderError> {
        let (name, site, by) = match order {
            Order::Move { name, site, by, .. }
            | Order::Withdraw { name, site, by, .. }
            | Order::Restore { name, site, by } => (name, site, truncate_name(by)),
        };
        let context = self.context(name).ok_or_else(|| OrderError::NoAddress(name.clone()))?;
        let mut addresses = self.state().addresses.clone();
        let address_state = addresses.entry(name.clone()).or_insert_with(|| context.base.clone());
        let is_allowed = |site: &str| !context.base.withdrawn.contains_key(site);
        if !context.sites.iter().any(|(site_name, _)| site_name == site) {
            return Err(OrderError::NoSite(site.clone()));
        }
        match order {
            Order::Move { anyway, .. } => {
                if context.base.announce == Announce::Many || context.address.announce == Announce::Many {
                    return Err(OrderError::NotMovable(name.clone()));
                }
                if let Some(by) = context.base.withdrawn.get(site) {
                    return Err(OrderError::Withdrawn { site: site.clone(), by: by.clone() });
                }
                if context.base.holder.as_ref().or(context.base.next.as_ref()) == Some(site) {
                    return Err(OrderError::NoChange(site.clone()));
                }
                if !context.is_healthy(site) && !anyway {
                    return Err(OrderError::Unhealthy(site.clone()));
                }
                let pinned = (!context.is_healthy(site)).then_some(by);
                one::start_handover(address_state, site, pinned);
            }
            Order::Withdraw { anyway, .. } => {
                if !is_allowed(site) {
                    return Err(OrderError::NoChange(site.clone()));
                }
                let others = || {
                    context
                        .sites
                        .iter()
                        .map(|(other, _)| *other)
                        .filter(|other| *other != site && is_allowed(other))
                };
                if others().count() == 0 {
                    return Err(OrderError::LastSite(site.clone()));
                }
                let required = if context.address.announce == Announce::One {
                    1
                } else {
                    context.address.keep_at_least.max(1)
                };
                let remaining = others().filter(|other| context.is_healthy(other)).count();
                if remaining < required && !anyway {
                    return Err(OrderError::TooFew { remaining, required });
                }
                address_state.withdrawn.insert(site.clone(), by);
            }
            Order::Restore { .. } => {
                if address_state.withdrawn.remove(site).is_none() {
                    return Err(OrderError::NoChange(site.clone()));
                }
            }
        }
        Ok(self.build_next_state(addresses))
    }
}

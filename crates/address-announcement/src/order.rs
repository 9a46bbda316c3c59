//! What operators may ask for, and why it is refused.

use crate::decide::Decider;
use crate::state::State;
use crate::{Announce, one};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest name of whoever gives an order; what is longer is cut.
pub const BY_MOST: usize = 64;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Another site is to hold an address of kind `one`.
    Move {
        /// The address.
        name: String,
        /// The site that is to hold it.
        site: String,
        /// Who says so.
        by: String,
        /// Even if the site is ill.
        anyway: bool,
    },
    /// A site is not to announce an address.
    Withdraw {
        /// The address.
        name: String,
        /// The site.
        site: String,
        /// Who says so.
        by: String,
        /// Even if fewer that are well are left than are to be kept.
        anyway: bool,
    },
    /// A site may announce it again.
    Restore {
        /// The address.
        name: String,
        /// The site.
        site: String,
        /// Who says so.
        by: String,
    },
}

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No address of that name, or nothing has been agreed on it yet.
    NoAddress(String),
    /// The address has no such site.
    NoSite(String),
    /// The site stands as it is asked to.
    AlreadySo(String),
    /// Only what one site announces can be moved.
    ManyAnnounce(String),
    /// The site is withdrawn by order: it has to be restored first.
    IsWithdrawn {
        /// The site.
        site: String,
        /// By whom.
        by: String,
    },
    /// The site is ill or out of touch; `anyway` overrides.
    Ill(String),
    /// Fewer that are well would be left than are to be kept; `anyway` overrides.
    TooFew {
        /// What would be left.
        left: usize,
        /// What is to be kept.
        keep: usize,
    },
    /// No site would be left that may announce it.
    Last(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress(name) => {
                write!(f, "there is no address {name:?}, or nothing is agreed on it yet")
            }
            Self::NoSite(site) => write!(f, "the address has no site {site:?}"),
            Self::AlreadySo(site) => write!(f, "{site} stands so already"),
            Self::ManyAnnounce(name) => {
                write!(f, "{name} is announced by many sites: withdraw and restore them")
            }
            Self::IsWithdrawn { site, by } => write!(f, "{site} is withdrawn by {by}: restore it first"),
            Self::Ill(site) => write!(f, "{site} is ill or out of touch; --anyway does it all the same"),
            Self::TooFew { left, keep } => {
                write!(
                    f,
                    "{left} that are well would be left, and {keep} are to be kept; --anyway does it all the same"
                )
            }
            Self::Last(site) => write!(f, "{site} is the last that may announce it"),
        }
    }
}

impl std::error::Error for Refusal {}

fn short(by: &str) -> String {
    by.chars().take(BY_MOST).collect()
}

impl Decider {
    /// The state that an order comes to, by how well the sites were at the last tick. It is to be proposed as that of a tick is;
    /// an order whose state was overtaken is to be given again.
    pub fn order(&self, order: &Order) -> Result<State, Refusal> {
        let (name, site, by) = match order {
            Order::Move { name, site, by, .. }
            | Order::Withdraw { name, site, by, .. }
            | Order::Restore { name, site, by } => (name, site, short(by)),
        };
        let scene = self.scene(name).ok_or_else(|| Refusal::NoAddress(name.clone()))?;
        let mut addresses = self.state().addresses.clone();
        let standing = addresses.entry(name.clone()).or_insert_with(|| scene.base.clone());
        let open = |site: &str| !scene.base.withdrawn.contains_key(site);
        if !scene.sites.iter().any(|(known, _)| known == site) {
            return Err(Refusal::NoSite(site.clone()));
        }
        match order {
            Order::Move { anyway, .. } => {
                if scene.base.announce == Announce::Many || scene.address.announce == Announce::Many {
                    return Err(Refusal::ManyAnnounce(name.clone()));
                }
                if let Some(by) = scene.base.withdrawn.get(site) {
                    return Err(Refusal::IsWithdrawn { site: site.clone(), by: by.clone() });
                }
                if scene.base.holder.as_ref().or(scene.base.next.as_ref()) == Some(site) {
                    return Err(Refusal::AlreadySo(site.clone()));
                }
                if !scene.well(site) && !anyway {
                    return Err(Refusal::Ill(site.clone()));
                }
                let pinned = (!scene.well(site)).then_some(by);
                one::hand_over(standing, site, pinned);
            }
            Order::Withdraw { anyway, .. } => {
                if !open(site) {
                    return Err(Refusal::AlreadySo(site.clone()));
                }
                let others = || {
                    scene.sites.iter().map(|(other, _)| *other).filter(|other| *other != site && open(other))
                };
                if others().count() == 0 {
                    return Err(Refusal::Last(site.clone()));
                }
                let keep = if scene.address.announce == Announce::One {
                    1
                } else {
                    scene.address.keep_at_least.max(1)
                };
                let left = others().filter(|other| scene.well(other)).count();
                if left < keep && !anyway {
                    return Err(Refusal::TooFew { left, keep });
                }
                standing.withdrawn.insert(site.clone(), by);
            }
            Order::Restore { .. } => {
                if standing.withdrawn.remove(site).is_none() {
                    return Err(Refusal::AlreadySo(site.clone()));
                }
            }
        }
        Ok(self.written(addresses))
    }
}

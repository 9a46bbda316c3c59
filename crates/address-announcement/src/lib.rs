//! Shared service addresses: which sites announce each, with what preference, and for how long: no I/O, no clock.
//!
//! [`state`] is what all agree on, [`decide`] the leader's machine, [`order`] what operators may ask of it, [`answer`] a
//! balancer's side. `docs/design/places.md` has the reasons.

pub mod answer;
pub mod decide;
#[cfg(test)]
mod explore;
pub mod health;
mod many;
mod one;
pub mod order;
pub mod state;

pub use answer::{Answer, LocalBalancer};
pub use decide::Decider;
pub use health::SiteHealth;
pub use order::{Order, Refusal};
pub use state::{Phase, SiteRecord, Standing, State};

use maplehook_locality::Region;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a clock may go wrong by, either way: 1 %, as the agreement's leases reckon.
pub const DRIFT: f64 = 0.01;
/// The most addresses.
pub const ADDRESSES_MOST: usize = 64;

/// Who may announce an address at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Announce {
    /// Every site that is well.
    Many,
    /// One site at any instant.
    One,
}

impl Announce {
    /// The longest that one answer is good for. For `one` the next holder waits it out, so it is short; it has to outlast some
    /// polls that are lost.
    pub fn good_for_most(self) -> Duration {
        match self {
            Self::Many => Duration::from_secs(3),
            Self::One => Duration::from_secs(1),
        }
    }
}

/// An address as the operator's file states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Its name.
    pub name: String,
    /// What is announced, to the letter.
    pub address: String,
    /// By how many sites.
    pub announce: Announce,
    /// Sites that go on announcing however ill they seem. At least 1.
    pub keep_at_least: usize,
    /// For how long a site has to be ill before it withdraws.
    pub withdraw_after: Duration,
    /// For how long a site has to be well before it announces again.
    pub return_after: Duration,
    /// Its sites, the preferred one first. A site is a region.
    pub sites: Vec<Region>,
}

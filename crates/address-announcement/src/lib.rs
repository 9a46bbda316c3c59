//! Shared service addresses: decides which sites announce each address, with which preference and for how
//! long. The crate does no I/O and reads no clock.
//!
//! [`state`] holds the replicated state, [`decide`] the leader's state machine, [`order`] the operators'
//! orders, and [`answer`] a balancer's answers to routers. `docs/design/places.md` explains the design.

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
pub use order::{Order, OrderError};
pub use state::{AddressState, Phase, SiteRecord, State};

use maplehook_locality::Region;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Assumed bound on clock drift, as a fraction: 1 %, fast or slow. The consensus leases assume the same
/// bound.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Maximum number of addresses in a [`State`]; further configured addresses are ignored.
pub const MAX_ADDRESSES: usize = 64;

/// Number of sites that may announce an address at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Announce {
    /// Every healthy site announces the address.
    Many,
    /// At most one site announces the address at any instant.
    One,
}

impl Announce {
    /// Returns the maximum validity of one answer. With `One` the next holder waits this long, so the
    /// validity is short, but it still outlasts a few failed polls.
    pub fn max_validity(self) -> Duration {
        match self {
            Self::Many => Duration::from_secs(3),
            Self::One => Duration::from_secs(1),
        }
    }
}

/// Configuration of an address from the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Unique name of the address.
    pub name: String,
    /// IP address and port that the sites announce, unchanged from the file.
    pub address: String,
    /// Number of sites that announce the address at the same time.
    pub announce: Announce,
    /// Minimum number of sites that keep announcing the address even if they are unhealthy. At least 1.
    pub keep_at_least: usize,
    /// Time for which a site must be unhealthy before it withdraws.
    pub withdraw_after: Duration,
    /// Time for which a site must be healthy before it announces the address again.
    pub return_after: Duration,
    /// Sites of the address, in order of preference. Each site is a region.
    pub sites: Vec<Region>,
}

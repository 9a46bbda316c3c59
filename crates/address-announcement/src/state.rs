//! Replicated state: which sites announce each address.
//!
//! The state refers to sites by name, so a reader with another topology can decode it. Times are stored as
//! ages at the moment of writing.

use crate::order::MAX_OPERATOR_NAME_CHARS;
use crate::{Announce, MAX_ADDRESSES};
use maplehook_locality::topology::MAX_REGIONS;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Preference of a site that takes over clients from unhealthy sites. A higher value is preferred; among
/// equal values the nearest site wins.
pub const PREFERENCE_TAKEOVER: u32 = 400;
/// Preference of a healthy site.
pub const PREFERENCE_HEALTHY: u32 = 300;
/// Preference of a site that has just returned.
pub const PREFERENCE_RETURNING: u32 = 200;
/// Preference of a site that is unhealthy but not withdrawn.
pub const PREFERENCE_UNHEALTHY: u32 = 100;
/// Preference of a site that announces without a lease, based on its local health alone.
pub const PREFERENCE_WITHOUT_LEASE: u32 = 50;

/// Announcement phase of a site, for an address of kind [`Announce::Many`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The site is healthy and announces the address.
    #[default]
    Well,
    /// The site is unhealthy and announces the address with a lower preference.
    Worse,
    /// The site is withdrawn.
    Away,
    /// The site announces the address again, with a lower preference than the healthy sites.
    Returning,
}

/// Replicated health and announcement phase of one site of an address.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteRecord {
    /// Announcement phase of the site.
    pub phase: Phase,
    /// Time since the phase was entered, in milliseconds.
    pub for_ms: u64,
    /// True if the site is considered unhealthy.
    pub ill: bool,
    /// Time since `ill` last changed, in milliseconds.
    pub ill_for_ms: u64,
    /// Flap damping penalty (the figure of merit of RFC 2439); a withdrawal adds 1.
    pub penalty: f64,
    /// True while flap damping keeps the site from returning.
    pub suppressed: bool,
}

/// Replicated state of one address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressState {
    /// Epoch of the address; increases with each change of this state.
    pub epoch: u64,
    /// Number of sites that may announce the address.
    pub announce: Announce,
    /// Preference of each announcing site, by site name.
    pub announcing: BTreeMap<String, u32>,
    /// `One` only: the site that holds the address.
    pub holder: Option<String>,
    /// `One` only: the previous holder, whose answers must expire before the next site holds the address. If
    /// it is `None`, the answers of all sites must expire.
    pub last: Option<String>,
    /// `One` only: the site that will hold the address once the answers of `last` have expired. An address
    /// that no site has held yet gets a `next` only by an operator's order.
    pub next: Option<String>,
    /// `One` only, after a change from `Many`: sites that may not have received the change and may still
    /// announce the address without a lease.
    pub unheard: BTreeSet<String>,
    /// Sites withdrawn by operators, each with the operator's name.
    pub withdrawn: BTreeMap<String, String>,
    /// `One` only: the operator who moved the address to an unhealthy site. The address then stays there.
    pub pinned: Option<String>,
    /// Reason why unhealthy or withdrawn sites keep the address, in plain text; `None` if all announcing
    /// sites are healthy.
    pub all_stay: Option<String>,
    /// Records of the sites of the address, by site name.
    pub sites: BTreeMap<String, SiteRecord>,
    /// Not used: no leader sets this age, so the value is always 0. It stays part of the encoding.
    pub for_ms: u64,
}

impl AddressState {
    /// Returns the initial state, in which no site announces the address.
    pub fn new(announce: Announce) -> Self {
        Self {
            epoch: 0,
            announce,
            announcing: BTreeMap::new(),
            holder: None,
            last: None,
            next: None,
            unheard: BTreeSet::new(),
            withdrawn: BTreeMap::new(),
            pinned: None,
            all_stay: None,
            sites: BTreeMap::new(),
            for_ms: 0,
        }
    }

    fn is_sound(&self) -> bool {
        let sizes = [self.announcing.len(), self.unheard.len(), self.withdrawn.len(), self.sites.len()];
        let is_short = |by: &String| by.chars().count() <= MAX_OPERATOR_NAME_CHARS;
        let is_consistent = match &self.holder {
            Some(holder) => self.next.is_none() && self.announcing.keys().eq([holder]),
            None => self.announce == Announce::Many || self.announcing.is_empty(),
        };
        is_consistent
            && sizes.into_iter().all(|len| len <= MAX_REGIONS)
            && self.withdrawn.values().chain(&self.pinned).all(is_short)
            && self.sites.values().all(|site| site.penalty.is_finite() && site.penalty >= 0.0)
    }

    /// Returns true if the two states differ in more than the epoch, ages, penalties and health. The latter
    /// matter only to the next leader.
    pub fn differs(&self, other: &Self) -> bool {
        let phases =
            |address_state: &Self| address_state.sites.values().map(|site| site.phase).collect::<Vec<_>>();
        self.announce != other.announce
            || self.announcing != other.announcing
            || (&self.holder, &self.last, &self.next) != (&other.holder, &other.last, &other.next)
            || self.unheard != other.unheard
            || self.withdrawn != other.withdrawn
            || (&self.pinned, &self.all_stay) != (&other.pinned, &other.all_stay)
            || !self.sites.keys().eq(other.sites.keys())
            || phases(self) != phases(other)
    }
}

/// Replicated state of all addresses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Sequence number; each state that is written has the number of its predecessor plus one.
    pub number: u64,
    /// Addresses by name.
    pub addresses: BTreeMap<String, AddressState>,
}

impl State {
    /// Returns true if the state is consistent: all sizes are bounded and an address of kind `One` has at
    /// most one announcing site. A state received from another process must be checked before it is used.
    pub fn is_sound(&self) -> bool {
        self.addresses.len() <= MAX_ADDRESSES && self.addresses.values().all(AddressState::is_sound)
    }

    /// Returns true if this state may be applied directly after `before`. Every process that applies the log
    /// must check this: a state derived from an earlier one, or proposed by a former leader, could bring back
    /// a holder that has already handed the address over.
    pub fn follows(&self, before: Option<&State>) -> bool {
        self.number == before.map_or(0, |before| before.number).saturating_add(1)
    }
}

//! Shared service addresses: which sites announce each, with what preference, and for how long: no I/O, no clock.
//!
//! `docs/design/places.md` has the reasons.

use maplehook_locality::Region;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Who may announce an address at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Announce {
    /// Every site that is well.
    Many,
    /// One site at any instant.
    One,
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

//! What goes through the agreed log: who announces what.
//!
//! Sites stand in it by name, so that whoever has another topology can read it. Times are ages at the moment of writing.

use crate::order::BY_MOST;
use crate::{ADDRESSES_MOST, Announce};
use maplehook_locality::topology::REGIONS_MOST;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Preference of a site that takes over from others. More is better; among equals the nearest is meant.
pub const TAKES: u32 = 400;
/// Of one that is well.
pub const WELL: u32 = 300;
/// Of one that returns.
pub const RETURNS: u32 = 200;
/// Of one that is ill and not withdrawn.
pub const WORSE: u32 = 100;
/// Of one that announces by its own evidence alone.
pub const ALONE: u32 = 50;

/// How a site stands with an address of kind `many`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It announces.
    #[default]
    Well,
    /// It announces with a worse preference.
    Worse,
    /// It is withdrawn.
    Away,
    /// It announces again, after the others.
    Returning,
}

/// A site of an address.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteRecord {
    /// How it stands.
    pub phase: Phase,
    /// For how long.
    pub for_ms: u64,
    /// Whether it is held for ill.
    pub ill: bool,
    /// For how long it has been ill, or well.
    pub ill_for_ms: u64,
    /// What its changes have cost it so far (RFC 2439's figure of merit; a withdrawal is 1).
    pub penalty: f64,
    /// Whether it is kept back for that.
    pub suppressed: bool,
}

/// An address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Rises with each change of it.
    pub epoch: u64,
    /// What it is announced as.
    pub announce: Announce,
    /// Who announces it, each with its preference.
    pub announcing: BTreeMap<String, u32>,
    /// Of `one`: who holds it.
    pub holder: Option<String>,
    /// Of `one`: who held it last, and is waited for. Nobody known: all are waited for.
    pub last: Option<String>,
    /// Of `one`: who is to hold it once `last` can announce no more. Of one that nobody has held: by order alone.
    pub next: Option<String>,
    /// Of `one` that was `many`: sites that may not have heard of it, and announce without a lease.
    pub unheard: BTreeSet<String>,
    /// Sites that operators have withdrawn, and who did.
    pub withdrawn: BTreeMap<String, String>,
    /// Of `one`: who moved it to where it is although that was ill: it stays there.
    pub pinned: Option<String>,
    /// Why all stay although they seem ill, if that is so.
    pub all_stay: Option<String>,
    /// Its sites.
    pub sites: BTreeMap<String, SiteRecord>,
    /// Since when it stands so.
    pub for_ms: u64,
}

impl Standing {
    /// One that nobody announces yet.
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
        let few = [self.announcing.len(), self.unheard.len(), self.withdrawn.len(), self.sites.len()];
        let short = |by: &String| by.chars().count() <= BY_MOST;
        let one = match &self.holder {
            Some(holder) => self.next.is_none() && self.announcing.keys().eq([holder]),
            None => self.announce == Announce::Many || self.announcing.is_empty(),
        };
        one && few.into_iter().all(|len| len <= REGIONS_MOST)
            && self.withdrawn.values().chain(&self.pinned).all(short)
            && self.sites.values().all(|site| site.penalty.is_finite() && site.penalty >= 0.0)
    }

    /// Whether it is another one than this, but for ages and figures: those matter to the next leader alone.
    pub fn differs(&self, other: &Self) -> bool {
        let phases = |standing: &Self| standing.sites.values().map(|site| site.phase).collect::<Vec<_>>();
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

/// All addresses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Rises by one with each state that is written.
    pub number: u64,
    /// By name.
    pub addresses: BTreeMap<String, Standing>,
}

impl State {
    /// Whether it can be one: bounded, and with one holder at the most where one site may announce. What comes from elsewhere is
    /// asked this before it is acted on.
    pub fn is_sound(&self) -> bool {
        self.addresses.len() <= ADDRESSES_MOST && self.addresses.values().all(Standing::is_sound)
    }

    /// Whether it may be played after this one. Whoever plays the log has to ask: a state that was made of an earlier one, or by a
    /// leader that is none any more, would bring back a holder that has given way.
    pub fn follows(&self, before: Option<&State>) -> bool {
        self.number == before.map_or(0, |before| before.number).saturating_add(1)
    }
}

//! The list of all members that have been seen, as operators are shown it. `foca` keeps its own for the gossip.

use crate::identity::{Identity, IncompatibleVersionError, ProgramVersion, WireVersions};
use crate::name::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an excluded member counts as alive without a sign of life.
const EXCLUDED_MEMBER_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two checks of that.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most excluded members that are kept.
const MAX_EXCLUDED_MEMBERS: usize = 64;

/// The state of a member, as believed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member has not answered, and may still refute the suspicion.
    Suspect,
    /// The member has not refuted the suspicion in time.
    Dead,
    /// The member has said itself that it leaves.
    Left,
}

impl MemberState {
    /// Returns the stable name of the state in logs and operators' JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Why a balancer that is seen is excluded from the gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    /// Its program and this one have no wire version in common.
    IncompatibleVersion(IncompatibleVersionError),
    /// No `[[tier.peer]]` names it, so that nothing can be sent to it.
    Unlisted,
}

impl ExclusionReason {
    /// Returns the reason as text for logs and operators' JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IncompatibleVersion(IncompatibleVersionError::TooOld) => "its program is too old",
            Self::IncompatibleVersion(IncompatibleVersionError::TooNew) => "its program is too new",
            Self::Unlisted => "no [[tier.peer]] names it",
        }
    }
}

/// A member as operators are shown it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member's name.
    pub name: Name,
    /// Its generation.
    pub generation: u64,
    /// Its state, as believed here.
    pub state: MemberState,
    /// The version of its program.
    pub program: ProgramVersion,
    /// The wire versions that its program speaks.
    pub wire: WireVersions,
    /// How long it has been in this state.
    pub in_state_for: Duration,
    /// Why it is excluded from the gossip, if it is.
    pub excluded: Option<ExclusionReason>,
}

impl MemberStatus {
    /// Returns whether the member is alive, not suspected, and takes part in the gossip.
    pub fn is_alive_participant(&self) -> bool {
        self.state == MemberState::Alive && self.excluded.is_none()
    }
}

/// Why a member is excluded, and when it gave its last sign of life.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    reason: ExclusionReason,
    last_seen: Duration,
}

#[derive(Clone, Debug)]
struct MemberEntry {
    identity: Identity,
    state: MemberState,
    /// When the member entered the state.
    since: Duration,
    exclusion: Option<Exclusion>,
}

impl MemberEntry {
    /// Returns whether the member takes part in the gossip and is alive for all that is known.
    fn is_alive_participant(&self) -> bool {
        self.exclusion.is_none() && self.state == MemberState::Alive
    }

    /// Returns whether the member takes part in the gossip and is not known to be down.
    fn is_participant(&self) -> bool {
        self.exclusion.is_none() && !matches!(self.state, MemberState::Dead | MemberState::Left)
    }

    /// Returns whether the member is excluded and alive for all that is known.
    fn is_alive_excluded(&self) -> bool {
        self.exclusion.is_some() && self.state == MemberState::Alive
    }
}

/// All members that have been seen.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    entries: BTreeMap<Name, MemberEntry>,
    last_expiry: Duration,
}

impl MemberList {
    /// Records the state of a member that takes part in the gossip.
    pub fn set_state(&mut self, now: Duration, identity: &Identity, state: MemberState) {
        let entry = MemberEntry { identity: identity.clone(), state, since: now, exclusion: None };
        self.entries.insert(identity.name.clone(), entry);
    }

    /// Records that a member goes on under another generation, without a change of its state.
    pub fn set_identity(&mut self, now: Duration, identity: &Identity) {
        if let Some(entry) = self.entries.get_mut(&identity.name) {
            (entry.identity, entry.since) = (identity.clone(), now);
        }
    }

    /// Records a sign of life of a balancer that is excluded, and returns whether that is news.
    pub fn record_excluded(&mut self, now: Duration, identity: &Identity, reason: ExclusionReason) -> bool {
        let exclusion = Some(Exclusion { reason, last_seen: now });
        let Some(entry) = self.entries.get_mut(&identity.name) else {
            return self.insert_excluded(now, identity, exclusion);
        };
        // A participant's program may have been replaced by an incompatible one; the gossip finds out about the old.
        let is_outdated = if entry.is_participant() {
            entry.identity.generation >= identity.generation
        } else {
            entry.identity.generation > identity.generation
        };
        if is_outdated {
            return false;
        }
        let is_news = entry.exclusion.map(|exclusion| exclusion.reason) != Some(reason)
            || entry.state != MemberState::Alive
            || entry.identity != *identity;
        if is_news {
            (entry.identity, entry.state, entry.since) = (identity.clone(), MemberState::Alive, now);
        }
        entry.exclusion = exclusion;
        is_news
    }

    fn insert_excluded(&mut self, now: Duration, identity: &Identity, exclusion: Option<Exclusion>) -> bool {
        let excluded = self.entries.values().filter(|entry| entry.exclusion.is_some()).count();
        if excluded >= MAX_EXCLUDED_MEMBERS {
            return false;
        }
        let entry =
            MemberEntry { identity: identity.clone(), state: MemberState::Alive, since: now, exclusion };
        self.entries.insert(identity.name.clone(), entry);
        true
    }

    /// Records that the peers of an excluded member say that it is down.
    pub fn mark_excluded_down(&mut self, now: Duration, identity: &Identity, has_left: bool) {
        if let Some(entry) = self.entries.get_mut(&identity.name)
            && entry.is_alive_excluded()
            && entry.identity.generation <= identity.generation
        {
            entry.state = if has_left { MemberState::Left } else { MemberState::Dead };
            entry.since = now;
        }
    }

    /// Declares excluded members dead that have given no sign of life for too long.
    pub fn expire_excluded(&mut self, now: Duration) {
        if now < self.last_expiry + EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        for entry in self.entries.values_mut() {
            if let Some(Exclusion { last_seen, .. }) = entry.exclusion
                && entry.state == MemberState::Alive
                && now.saturating_sub(last_seen) > EXCLUDED_MEMBER_TIMEOUT
            {
                (entry.state, entry.since) = (MemberState::Dead, now);
            }
        }
    }

    /// Returns the latest known generation of a name.
    pub fn generation(&self, name: &Name) -> Option<u64> {
        self.entries.get(name).map(|entry| entry.identity.generation)
    }

    /// Returns whether a member is alive and not excluded.
    pub fn is_alive(&self, name: &Name) -> bool {
        self.entries.get(name).is_some_and(MemberEntry::is_alive_participant)
    }

    /// Returns the status of all members. `suspected_since` tells since when a member is suspected, if it is.
    pub fn snapshot(
        &self,
        now: Duration,
        suspected_since: impl Fn(&Identity) -> Option<Duration>,
    ) -> Vec<MemberStatus> {
        let status = |entry: &MemberEntry| {
            let suspected = suspected_since(&entry.identity).filter(|_| entry.state == MemberState::Alive);
            MemberStatus {
                name: entry.identity.name.clone(),
                generation: entry.identity.generation,
                state: if suspected.is_some() { MemberState::Suspect } else { entry.state },
                program: entry.identity.program,
                wire: entry.identity.wire,
                in_state_for: now.saturating_sub(suspected.unwrap_or(entry.since)),
                excluded: entry.exclusion.map(|exclusion| exclusion.reason),
            }
        };
        self.entries.values().map(status).collect()
    }
}

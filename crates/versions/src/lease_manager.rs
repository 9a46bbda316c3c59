//! The leader's side of leases on versions: which members may still act on which phase, and so when the next phase may begin.
//!
//! A lease lasts by its holder's clock, read before the request for it was sent. The leader reckons from its own clock when it grants
//! the lease, and adds the possible drift of both clocks, so that its end is never before the holder's. A new leader does not know the
//! leases of the previous one, and waits for the longest that there can be.

use crate::lease_times::{LeaseExpiryPolicy, LeaseTimes};
use crate::version_state::VersionState;
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    /// The epoch that the member has reported to act on.
    epoch: u64,
    ends_at: Duration,
}

/// A member that the present phase waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMember {
    /// The member's name.
    pub name: Name,
    /// The epoch that it has last reported to act on, if any.
    pub epoch: Option<u64>,
    /// The longest time for which it is waited for; `None` if that is until it reports or is forgotten.
    pub max_wait: Option<Duration>,
}

/// The leases that a leader has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    times: LeaseTimes,
    expiry_policy: LeaseExpiryPolicy,
    elected_at: Duration,
    members: BTreeSet<Name>,
    leases: BTreeMap<Name, GrantedLease>,
}

impl LeaseManager {
    /// Creates the state of a leader that was elected at this time. `members` are all possible members, the leader included.
    pub fn new(
        times: LeaseTimes,
        expiry_policy: LeaseExpiryPolicy,
        members: BTreeSet<Name>,
        elected_at: Duration,
    ) -> Self {
        Self { times, expiry_policy, elected_at, members, leases: BTreeMap::new() }
    }

    /// Grants a lease to a member that acts on this epoch. It must be certain that this leader still was one after the request had
    /// come. Returns `false` for the name of no member.
    pub fn grant(&mut self, now: Duration, name: &Name, epoch: u64) -> bool {
        if !self.members.contains(name) {
            return false;
        }
        let ends_at = now + self.times.max_lease();
        let lease = self.leases.entry(name.clone()).or_insert(GrantedLease { epoch, ends_at });
        // A delayed request must not set the epoch back.
        lease.epoch = lease.epoch.max(epoch);
        lease.ends_at = lease.ends_at.max(ends_at);
        true
    }

    /// Returns the members that may still act on an earlier phase than the present one. As long as there are any, the next phase must
    /// not begin.
    pub fn pending_members(&self, now: Duration, state: &VersionState) -> Vec<PendingMember> {
        self.members.iter().filter_map(|name| self.pending_member(now, state, name)).collect()
    }

    fn pending_member(&self, now: Duration, state: &VersionState, name: &Name) -> Option<PendingMember> {
        let lease = self.leases.get(name);
        if lease.is_some_and(|lease| lease.epoch >= state.epoch) {
            return None;
        }
        let epoch = lease.map(|lease| lease.epoch);
        let name = name.clone();
        if self.expiry_policy == LeaseExpiryPolicy::WaitForAll {
            // A forgotten member is waited for again once it has reported.
            let forgotten_at = state.forgotten_members.get(name.as_str());
            let is_forgotten = forgotten_at.is_some_and(|at| epoch.is_none_or(|epoch| epoch < *at));
            return (!is_forgotten).then_some(PendingMember { name, epoch, max_wait: None });
        }
        let max_wait = self.latest_lease_end(&name).checked_sub(now).filter(|wait| !wait.is_zero())?;
        Some(PendingMember { name, epoch, max_wait: Some(max_wait) })
    }

    /// Returns the end of the lease that this leader has granted to a member; `None` if it granted none.
    pub fn lease_end(&self, name: &Name) -> Option<Duration> {
        self.leases.get(name).map(|lease| lease.ends_at)
    }

    /// Returns the latest end of any lease that a member may hold, also of an earlier leader, by this leader's clock.
    pub fn latest_lease_end(&self, name: &Name) -> Duration {
        let earlier_leases_end = self.elected_at + self.times.max_lease();
        self.lease_end(name).map_or(earlier_leases_end, |end| end.max(earlier_leases_end))
    }

    /// Returns the members that have reported to this leader, with the epochs that they act on.
    pub fn member_epochs(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.leases.iter().map(|(name, lease)| (name, lease.epoch))
    }
}

#[cfg(test)]
mod tests;

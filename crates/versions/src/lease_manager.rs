//! The leader's side: who may still act on what, and so when the next step may begin.
//!
//! Leases last by the clock of whoever holds them, read before the request for it was sent. The leader reckons from its own
//! clock when the request came, and adds what the two clocks may differ by: its end is never before the holder's. A new leader
//! knows nothing of the leases of the one before, and waits for the longest that there can be.

use crate::version_state::VersionState;
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How times follow from the one that the file states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// The longest time for which two balancers may act on rules that contradict each other.
    pub max_contradiction: Duration,
    /// A lease, by its holder's clock.
    pub lease: Duration,
    /// How often one is renewed.
    pub renew_interval: Duration,
}

/// What clocks may go wrong by, either way: 1 %.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// The least time that can be kept: renewals have to pass a busy machine several times within a lease.
pub const MIN_CONTRADICTION: Duration = Duration::from_millis(1000);
/// The longest.
pub const MAX_CONTRADICTION: Duration = Duration::from_secs(600);

impl LeaseTimes {
    /// By the stated time; `None` where it can't be kept.
    pub fn new(contradiction: Duration) -> Option<Self> {
        if !(MIN_CONTRADICTION..=MAX_CONTRADICTION).contains(&contradiction) {
            return None;
        }
        // Both clocks may be wrong, and a holder looks at its lease before each attempt, not between.
        let lease = contradiction.mul_f64(0.8);
        Some(Self { max_contradiction: contradiction, lease, renew_interval: lease / 6 })
    }

    /// The longest that a lease can last by a clock that is not its holder's.
    pub fn max_lease(&self) -> Duration {
        self.lease.mul_f64((1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT))
    }
}

/// What a balancer does when its lease has run out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseExpiryPolicy {
    /// It goes on, by the strictest reading there is.
    #[default]
    Conservative,
    /// It refuses, and says that it is not ready.
    Reject,
    /// There are no leases: a change waits for everybody.
    WaitForAll,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    epoch: u64,
    ends_at: Duration,
}

/// Who is waited for, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMember {
    /// Whom.
    pub name: Name,
    /// The epoch that it was last known to act on.
    pub epoch: Option<u64>,
    /// For how long at the most; `None`: until it is heard of, or forgotten.
    pub max_wait: Option<Duration>,
}

/// What a leader has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    times: LeaseTimes,
    expiry_policy: LeaseExpiryPolicy,
    elected_at: Duration,
    members: BTreeSet<Name>,
    leases: BTreeMap<Name, GrantedLease>,
}

impl LeaseManager {
    /// A leader's, from its election on. `members` are all that there may be, itself among them.
    pub fn new(
        times: LeaseTimes,
        cut_off: LeaseExpiryPolicy,
        members: BTreeSet<Name>,
        elected: Duration,
    ) -> Self {
        Self { times, expiry_policy: cut_off, elected_at: elected, members, leases: BTreeMap::new() }
    }

    /// Somebody who acts on this epoch asks for a lease. To be called once it is certain that this leader still was one after
    /// the request had come: what it answers is a lease.
    pub fn grant(&mut self, now: Duration, name: &Name, epoch: u64) -> bool {
        if !self.members.contains(name) {
            return false;
        }
        let until = now + self.times.max_lease();
        let held = self.leases.entry(name.clone()).or_insert(GrantedLease { epoch, ends_at: until });
        // A request that was overtaken says nothing of where it stands now.
        held.epoch = held.epoch.max(epoch);
        held.ends_at = held.ends_at.max(until);
        true
    }

    /// Who may still act on an earlier step than the present one: as long as there is somebody, the next one may not begin.
    pub fn pending_members(&self, now: Duration, steps: &VersionState) -> Vec<PendingMember> {
        let waits = |name: &Name| {
            let held = self.leases.get(name);
            if held.is_some_and(|held| held.epoch >= steps.epoch) {
                return None;
            }
            let epoch = held.map(|held| held.epoch);
            if self.expiry_policy == LeaseExpiryPolicy::WaitForAll {
                // Whoever was heard of since it was forgotten is waited for again.
                let forgotten = steps.forgotten_members.get(name.as_str());
                let away = forgotten.is_some_and(|at| epoch.is_none_or(|epoch| epoch < *at));
                return (!away).then(|| PendingMember { name: name.clone(), epoch, max_wait: None });
            }
            let until = self.latest_lease_end(name);
            (until > now).then(|| PendingMember { name: name.clone(), epoch, max_wait: Some(until - now) })
        };
        self.members.iter().filter_map(waits).collect()
    }

    /// Until when the lease that this leader granted may hold; `None`: it granted none.
    pub fn lease_end(&self, name: &Name) -> Option<Duration> {
        self.leases.get(name).map(|held| held.ends_at)
    }

    /// Until when a member may hold a lease, be it of the leader before, by this leader's clock.
    pub fn latest_lease_end(&self, name: &Name) -> Duration {
        let elected = self.elected_at + self.times.max_lease();
        self.leases.get(name).map_or(elected, |held| held.ends_at.max(elected))
    }

    /// Where each is that was heard of.
    pub fn member_epochs(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.leases.iter().map(|(name, held)| (name, held.epoch))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::version_state::Command;

    fn names(names: &[&str]) -> BTreeSet<Name> {
        names.iter().filter_map(|name| Name::new(name)).collect()
    }

    fn steps() -> VersionState {
        let mut steps = VersionState::default();
        let text = "one".to_owned();
        steps
            .apply(&Command::Propose {
                epoch: 0,
                expected: None,
                text,
                proposed_by: "a".into(),
                proposed_at_unix_ms: 0,
            })
            .unwrap();
        steps
    }

    fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    #[test]
    fn times_that_cannot_be_kept_are_none() {
        assert!(LeaseTimes::new(Duration::from_millis(999)).is_none());
        let times = LeaseTimes::new(s(5)).unwrap();
        assert!(times.max_lease() < times.max_contradiction && times.renew_interval * 5 < times.lease);
    }

    #[test]
    fn a_step_ends_when_all_have_it_or_can_no_longer_act_on_the_one_before() {
        let (times, steps) = (LeaseTimes::new(s(5)).unwrap(), steps());
        let mut grants =
            LeaseManager::new(times, LeaseExpiryPolicy::Conservative, names(&["a", "b"]), s(100));
        assert_eq!(grants.pending_members(s(100), &steps).len(), 2, "the leader before may have granted");
        let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
        assert!(grants.grant(s(101), &a, 1) && grants.grant(s(101), &b, 0));
        assert_eq!(grants.pending_members(s(105), &steps).iter().map(|w| &w.name).collect::<Vec<_>>(), [&b]);
        assert!(grants.pending_members(s(106), &steps).is_empty(), "its lease has run out");
        assert!(grants.grant(s(107), &b, 1));
        assert!(grants.pending_members(s(107), &steps).is_empty());
        // An overtaken request does not bring it back.
        grants.grant(s(107), &b, 0);
        assert!(grants.pending_members(s(107), &steps).is_empty());
        assert!(!grants.grant(s(107), &Name::new("x").unwrap(), 1), "a stranger gets none");
    }

    #[test]
    fn without_leases_everybody_is_waited_for_until_forgotten() {
        let (times, mut steps) = (LeaseTimes::new(s(5)).unwrap(), steps());
        let mut grants = LeaseManager::new(times, LeaseExpiryPolicy::WaitForAll, names(&["a", "b"]), s(0));
        let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
        grants.grant(s(1), &a, 1);
        assert_eq!(grants.pending_members(s(10_000), &steps).len(), 1);
        steps.apply(&Command::Forget { name: "b".into() }).unwrap();
        assert!(grants.pending_members(s(10_000), &steps).is_empty());
        // It comes back, at the step before: from then on it is waited for.
        steps
            .apply(&Command::Propose {
                epoch: 1,
                expected: None,
                text: "two".into(),
                proposed_by: "a".into(),
                proposed_at_unix_ms: 0,
            })
            .unwrap();
        grants.grant(s(10_001), &a, 2);
        grants.grant(s(10_001), &b, 1);
        assert_eq!(grants.pending_members(s(10_002), &steps).len(), 1);
    }
}

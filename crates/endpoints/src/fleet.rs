//! Fleet membership merged from several sources.

use crate::instance::{Instance, InstanceStatus};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits on holds of missing instances, on the age of a source's data and on the number of records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest share of a source's up instances that may go missing at once without a hold, 0 to 1.
    pub max_missing_share: f64,
    /// Consecutive lists without an instance after which it is removed. At least 1.
    pub confirming_lists: u32,
    /// Longest hold of a missing instance that does not answer on its sockets.
    pub max_hold: Duration,
    /// Longest hold of a missing instance that still answers on its sockets.
    pub max_hold_answering: Duration,
    /// Time since a source's last update during which its records are fresh.
    pub freshness: Duration,
    /// Time after a change of replica during which the new replica may serve old versions.
    pub max_replica_lag: Duration,
    /// Maximum number of records over all sources; further instances are ignored.
    pub max_instances: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_missing_share: 0.3,
            confirming_lists: 3,
            max_hold: Duration::from_secs(60),
            max_hold_answering: Duration::from_secs(300),
            freshness: Duration::from_secs(30),
            max_replica_lag: Duration::from_secs(90),
            max_instances: 100_000,
        }
    }
}

/// Source of an update, and the replica of the source that sent the update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Precedence of the source; 0 is the highest.
    pub source: usize,
    /// Number of the replica within the source.
    pub replica: u32,
}

/// Availability of an instance for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// The instance takes new requests.
    Available,
    /// The instance takes no new requests and finishes those in flight.
    Draining,
    /// No source has a record of the instance.
    Removed,
}

/// Hold that keeps an instance available although its source no longer lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Time at which the instance was first missing.
    pub since: Duration,
    /// Time at which the hold ends at the latest.
    pub until: Duration,
}

/// An instance, its state and the source that decides the state.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Data of the instance from the source's last update.
    pub instance: Instance,
    /// Availability of the instance for new requests.
    pub state: MemberState,
    /// Precedence of the deciding source.
    pub source: usize,
    /// Time at which the deciding source last listed the instance.
    pub last_update: Duration,
    /// Set while the instance is held available although it is missing.
    pub hold: Option<Hold>,
}

/// State of one instance at one source.
#[derive(Debug)]
struct Record {
    instance: Instance,
    replica: u32,
    last_update: Duration,
    missing: Option<Missing>,
}

#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Duration,
    /// Consecutive lists that did not contain the instance.
    lists: u32,
    /// Set while the loss is unconfirmed and the instance stays available.
    is_held: bool,
    /// Time of the last answer on the sockets; cleared when a connection fails.
    answered: Option<Duration>,
    is_unreachable: bool,
}

#[derive(Debug, Default)]
struct Source {
    records: FxHashMap<String, Record>,
    /// Version and time of each deletion, so that a lagging replica does not restore the instance.
    deleted: FxHashMap<String, (u64, Duration)>,
    deleted_in_order: VecDeque<(Duration, String)>,
    last_update: Option<Duration>,
    /// Replica of the last update, and the time of the change to that replica.
    replica: Option<(u32, Duration)>,
}

/// Fleet membership: one record for each source and instance, merged by the precedence of the sources.
#[derive(Debug)]
pub struct Membership {
    bounds: Bounds,
    sources: Vec<Source>,
    now: Duration,
    overflow: usize,
}

impl Membership {
    /// Creates an empty membership for the given number of sources.
    pub fn new(bounds: Bounds, sources: usize) -> Self {
        let sources = (0..sources).map(|_| Source::default()).collect();
        Self { bounds, sources, now: Duration::ZERO, overflow: 0 }
    }

    /// Returns the number of records; an instance counts once for each source that has it.
    pub fn len(&self) -> usize {
        self.sources.iter().map(|source| source.records.len()).sum()
    }

    /// Returns true if no source has a record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many updates were ignored because [`Bounds::max_instances`] was reached.
    pub fn overflow(&self) -> usize {
        self.overflow
    }

    /// Applies a complete list of a source. Holds the missing up instances if the list lacks too many.
    pub fn apply_list(&mut self, now: Duration, origin: Origin, list: Vec<Instance>) {
        self.record_update(now, origin);
        let keys: FxHashSet<String> = list.iter().map(|instance| instance.key.clone()).collect();
        for instance in list {
            self.update_instance(origin, instance);
        }
        let (now, bounds) = (self.now, self.bounds);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        let up_count = source.records.values().filter(|r| r.instance.status.is_up()).count();
        let missing = source
            .records
            .values()
            .filter(|r| r.instance.status.is_up() && (r.missing.is_some() || !keys.contains(&r.instance.key)))
            .count();
        // One missing instance is never too many, even of two. An empty list always lacks too many.
        let too_many =
            keys.is_empty() || (missing as f64 > bounds.max_missing_share * up_count as f64 && missing > 1);
        for record in source.records.values_mut().filter(|r| !keys.contains(&r.instance.key)) {
            let up = record.instance.status.is_up();
            let missing = record.missing.get_or_insert(Missing {
                since: now,
                lists: 0,
                is_held: too_many && up,
                answered: None,
                is_unreachable: false,
            });
            missing.lists = missing.lists.saturating_add(1);
            // Instances that went missing shortly before the others belong to the same loss.
            missing.is_held |= too_many && up && missing.lists <= bounds.confirming_lists;
        }
        self.expire_missing(origin.source);
    }

    /// Applies an incremental update of a source.
    pub fn apply_changes(&mut self, now: Duration, origin: Origin, changes: Vec<Instance>) {
        self.record_update(now, origin);
        for instance in changes {
            self.update_instance(origin, instance);
        }
        self.expire_missing(origin.source);
    }

    /// Records that a source's list has not changed: each missing instance is missing from one more list.
    pub fn confirm_unchanged(&mut self, now: Duration, origin: Origin) {
        self.record_update(now, origin);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        for missing in source.records.values_mut().filter_map(|record| record.missing.as_mut()) {
            missing.lists = missing.lists.saturating_add(1);
        }
        self.expire_missing(origin.source);
    }

    /// Applies explicit deletions, given as key and version. Few deletions take effect at once. More than
    /// [`Bounds::max_missing_share`] of the up instances are held like missing ones, because leases that all
    /// expire together usually mean a fault between the registry and the instances that renew them.
    pub fn apply_deletions(&mut self, now: Duration, origin: Origin, deletions: &[(String, u64)]) {
        self.record_update(now, origin);
        let (now, bounds) = (self.now, self.bounds);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        let up_count = source.records.values().filter(|r| r.instance.status.is_up()).count();
        let up = |key: &String| source.records.get(key).is_some_and(|r| r.instance.status.is_up());
        let deleted_up = deletions.iter().filter(|(key, _)| up(key)).count();
        let too_many = deleted_up > 1 && deleted_up as f64 > bounds.max_missing_share * up_count as f64;
        for (key, version) in deletions {
            let Some(record) = source.records.get_mut(key) else { continue };
            if too_many && record.instance.status.is_up() {
                let missing =
                    Missing { since: now, lists: 1, is_held: true, answered: None, is_unreachable: false };
                record.missing.get_or_insert(missing).is_held = true;
                continue;
            }
            let version = record.instance.version.max(*version);
            source.records.remove(key);
            if source.deleted.len() < bounds.max_instances {
                source.deleted.insert(key.clone(), (version, now));
                source.deleted_in_order.push_back((now, key.clone()));
            }
        }
    }

    /// Records that an instance answered on its sockets.
    pub fn record_answer(&mut self, now: Duration, key: &str) {
        self.now = self.now.max(now);
        let now = self.now;
        for missing in self.missing_records(key) {
            (missing.answered, missing.is_unreachable) = (Some(now), false);
        }
    }

    /// Records that a connection to an instance failed.
    pub fn record_unreachable(&mut self, now: Duration, key: &str) {
        self.now = self.now.max(now);
        for missing in self.missing_records(key) {
            (missing.answered, missing.is_unreachable) = (None, true);
        }
        // The failure cancels the extension by earlier answers, so the hold may have ended already.
        self.advance(now);
    }

    fn missing_records<'a>(&'a mut self, key: &'a str) -> impl Iterator<Item = &'a mut Missing> {
        let records = self.sources.iter_mut().filter_map(move |source| source.records.get_mut(key));
        records.filter_map(|record| record.missing.as_mut())
    }

    /// Advances the time, never backwards, and ends holds. After a failed query, call only this method.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        for source in 0..self.sources.len() {
            self.expire_missing(source);
        }
    }

    fn record_update(&mut self, now: Duration, origin: Origin) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        source.last_update = Some(now);
        if source.replica.is_none_or(|(replica, _)| replica != origin.replica) {
            source.replica = Some((origin.replica, now));
        }
    }

    /// Applies what a source reports for one listed instance.
    fn update_instance(&mut self, origin: Origin, instance: Instance) {
        let (now, max_replica_lag, has_capacity) =
            (self.now, self.bounds.max_replica_lag, self.len() < self.bounds.max_instances);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        let since = source.replica.map_or(now, |(_, since)| since);
        // The new replica may lag behind the one that the source used before.
        let may_lag = now < since + max_replica_lag;
        if let Some((version, _)) = source.deleted.get(&instance.key) {
            if may_lag && instance.version <= *version && instance.version > 0 {
                return;
            }
            source.deleted.remove(&instance.key);
        }
        match source.records.get_mut(&instance.key) {
            Some(record) => {
                record.last_update = now;
                let older = instance.version < record.instance.version;
                if record.replica != origin.replica && may_lag && older && instance.status.is_up() {
                    // The instance is listed, but its data is older than the record.
                    record.missing = None;
                    return;
                }
                *record = Record { instance, replica: origin.replica, last_update: now, missing: None };
            }
            None if !has_capacity => self.overflow += 1,
            None => {
                let record = Record { replica: origin.replica, last_update: now, missing: None, instance };
                source.records.insert(record.instance.key.clone(), record);
            }
        }
    }

    /// Ends holds that are over and removes missing instances whose loss is confirmed.
    fn expire_missing(&mut self, source: usize) {
        let (now, bounds) = (self.now, self.bounds);
        let Some(source) = self.sources.get_mut(source) else { return };
        source.records.retain(|_, record| {
            let Some(missing) = &mut record.missing else { return true };
            let bound = missing.until(&bounds);
            missing.is_held &=
                now < bound && !(missing.is_unreachable && missing.lists >= bounds.confirming_lists);
            // An instance that is not held is removed once `confirming_lists` lists in a row lack it.
            missing.is_held || missing.lists < bounds.confirming_lists
        });
        let is_old = |(at, _): &(Duration, String)| now > *at + bounds.max_replica_lag;
        while let Some((at, key)) = source.deleted_in_order.front().filter(|entry| is_old(entry)).cloned() {
            source.deleted_in_order.pop_front();
            if source.deleted.get(&key).is_some_and(|(_, when)| *when == at) {
                source.deleted.remove(&key);
            }
        }
    }

    /// Returns the earliest time at which a hold ends, if there is a hold.
    pub fn next_deadline(&self) -> Option<Duration> {
        let records = self.sources.iter().flat_map(|source| source.records.values());
        let held = records.filter_map(|record| record.missing.filter(|missing| missing.is_held));
        held.map(|missing| missing.until(&self.bounds)).min()
    }

    /// Returns true if an instance is missing, so that time or further lists may change its state.
    pub fn has_missing(&self) -> bool {
        self.sources.iter().flat_map(|source| source.records.values()).any(|record| record.missing.is_some())
    }

    /// Returns the state of one instance.
    pub fn state(&self, key: &str) -> MemberState {
        self.deciding_record(key).map_or(MemberState::Removed, |(_, record)| record.state())
    }

    /// Returns the record that decides the state of an instance, with the precedence of its source.
    fn deciding_record(&self, key: &str) -> Option<(usize, &Record)> {
        let mut first = None;
        for (n, source) in self.sources.iter().enumerate() {
            let Some(record) = source.records.get(key) else { continue };
            if source.last_update.is_some_and(|last_update| self.now <= last_update + self.bounds.freshness) {
                return Some((n, record));
            }
            first = first.or(Some((n, record)));
        }
        first
    }

    /// Returns all members ordered by key. Of several available keys at an address, all but the newest drain.
    pub fn members(&self) -> Vec<Member> {
        let mut keys: Vec<&String> = self.sources.iter().flat_map(|source| source.records.keys()).collect();
        keys.sort_unstable();
        keys.dedup();
        let mut members: Vec<Member> = keys
            .into_iter()
            .filter_map(|key| self.deciding_record(key))
            .map(|(source, record)| Member {
                instance: record.instance.clone(),
                state: record.state(),
                source,
                last_update: record.last_update,
                hold: record.hold(&self.bounds),
            })
            .collect();
        let mut owners: FxHashMap<SocketAddr, (u64, u64, usize)> = FxHashMap::default();
        for (n, member) in members.iter().enumerate().filter(|(_, m)| m.state == MemberState::Available) {
            let Some(address) = member.instance.address else { continue };
            let claim = (member.instance.boot_ms, member.instance.version, n);
            let owner = owners.entry(address).or_insert(claim);
            *owner = claim.max(*owner);
        }
        for (n, member) in members.iter_mut().enumerate() {
            let owner = member.instance.address.and_then(|address| owners.get(&address));
            if member.state == MemberState::Available && owner.is_some_and(|(_, _, owner)| *owner != n) {
                member.state = MemberState::Draining;
            }
        }
        members
    }
}

impl Missing {
    fn until(&self, bounds: &Bounds) -> Duration {
        let without_answers = self.since + bounds.max_hold;
        // Each answer extends the hold by `max_hold`, up to `max_hold_answering`.
        let answered = self.answered.map_or(Duration::ZERO, |at| at + bounds.max_hold);
        without_answers.max(answered).min(self.since + bounds.max_hold_answering.max(bounds.max_hold))
    }
}

impl Record {
    fn state(&self) -> MemberState {
        let missing = self.missing.is_some_and(|missing| !missing.is_held);
        if self.instance.status == InstanceStatus::Up && self.instance.address.is_some() && !missing {
            MemberState::Available
        } else {
            MemberState::Draining
        }
    }

    fn hold(&self, bounds: &Bounds) -> Option<Hold> {
        let missing = self.missing.filter(|missing| missing.is_held)?;
        Some(Hold { since: missing.since, until: missing.until(bounds) })
    }
}

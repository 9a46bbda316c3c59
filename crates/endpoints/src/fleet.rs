//! The fleet as it is believed to be.

use crate::instance::{Instance, InstanceStatus};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// How much is believed, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of a source's instances that may be missing at once without being held. 0 to 1.
    pub max_missing_share: f64,
    /// Lists in a row that have to agree before one that is missing is forgotten. 1 or more.
    pub confirming_lists: u32,
    /// The longest time for which a loss is held without further evidence.
    pub max_hold: Duration,
    /// The longest time for which one that answers on its sockets is held, though it is missing.
    pub max_hold_answering: Duration,
    /// How long a source's word is fresh after the source was last heard.
    pub freshness: Duration,
    /// How long a new replica may lag.
    pub max_replica_lag: Duration,
    /// Instances that are remembered, of all sources together; more are not taken in.
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

/// Who says something: a source, and which of its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The source, by its precedence.
    pub source: usize,
    /// The replica.
    pub replica: u32,
}

/// How an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Requests may go there.
    Available,
    /// Nothing new goes there; what is there is finished.
    Draining,
    /// Nobody knows it.
    Removed,
}

/// Why one is on offer that its source does not list any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Since when it has been missing.
    pub since: Duration,
    /// When that ends at the latest.
    pub until: Duration,
}

/// An instance with its provenance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// As its source listed it last.
    pub instance: Instance,
    /// How it stands.
    pub state: MemberState,
    /// Whose word that is.
    pub source: usize,
    /// When that word was last heard.
    pub last_update: Duration,
    /// Set if it is on offer though it is missing.
    pub hold: Option<Hold>,
}

/// What one source says of one instance.
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
    /// Lists in a row that did not name it.
    lists: u32,
    /// Its loss is not believed yet.
    held: bool,
    /// When it last answered on its sockets, and whether it could not be reached since.
    answered: Option<Duration>,
    unreachable: bool,
}

#[derive(Debug, Default)]
struct Source {
    records: FxHashMap<String, Record>,
    /// Versions of those that were deleted, so that a replica that lags does not bring them back.
    deleted: FxHashMap<String, (u64, Duration)>,
    deleted_in_order: VecDeque<(Duration, String)>,
    last_update: Option<Duration>,
    /// The replica that spoke last, and since when.
    replica: Option<(u32, Duration)>,
}

/// The fleet as it is believed to be.
#[derive(Debug)]
pub struct Membership {
    bounds: Bounds,
    sources: Vec<Source>,
    now: Duration,
    /// Instances that were not taken in for want of room.
    overflow: usize,
}

impl Membership {
    /// Nobody yet, by so many sources.
    pub fn new(bounds: Bounds, sources: usize) -> Self {
        let sources = (0..sources).map(|_| Source::default()).collect();
        Self { bounds, sources, now: Duration::ZERO, overflow: 0 }
    }

    /// Instances known, by source and key.
    pub fn len(&self) -> usize {
        self.sources.iter().map(|source| source.records.len()).sum()
    }

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Instances that were not taken in since there are [`Bounds::most`].
    pub fn overflow(&self) -> usize {
        self.overflow
    }

    /// A source lists all that it knows.
    pub fn apply_list(&mut self, now: Duration, origin: Origin, list: Vec<Instance>) {
        self.hear(now, origin);
        let named: FxHashSet<String> = list.iter().map(|instance| instance.key.clone()).collect();
        for instance in list {
            self.said(origin, instance);
        }
        let (now, bounds) = (self.now, self.bounds);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        let offered = source.records.values().filter(|r| r.instance.status.is_up()).count();
        let missing = source
            .records
            .values()
            .filter(|r| {
                r.instance.status.is_up() && (r.missing.is_some() || !named.contains(&r.instance.key))
            })
            .count();
        // One of two is half of the fleet, and no wonder.
        let too_many =
            named.is_empty() || (missing as f64 > bounds.max_missing_share * offered as f64 && missing > 1);
        for record in source.records.values_mut().filter(|r| !named.contains(&r.instance.key)) {
            let up = record.instance.status.is_up();
            let missing = record.missing.get_or_insert(Missing {
                since: now,
                lists: 0,
                held: too_many && up,
                answered: None,
                unreachable: false,
            });
            missing.lists = missing.lists.saturating_add(1);
            // Those that went before the others did belong to the same loss.
            missing.held |= too_many && up && missing.lists <= bounds.confirming_lists;
        }
        self.settle(origin.source);
    }

    /// A source tells what has changed.
    pub fn apply_changes(&mut self, now: Duration, origin: Origin, changes: Vec<Instance>) {
        self.hear(now, origin);
        for instance in changes {
            self.said(origin, instance);
        }
        self.settle(origin.source);
    }

    /// A source agrees with what it said before: those that were missing are missing still.
    pub fn confirm_unchanged(&mut self, now: Duration, origin: Origin) {
        self.hear(now, origin);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        for missing in source.records.values_mut().filter_map(|record| record.missing.as_mut()) {
            missing.lists = missing.lists.saturating_add(1);
        }
        self.settle(origin.source);
    }

    /// A source says in so many words that these are no more, each with its version. One, or a few, are gone at once;
    /// more than the share that may be missing are not believed at once either: leases that all end together are
    /// more often a fault between the registry and those that renew.
    pub fn apply_deletions(&mut self, now: Duration, origin: Origin, gone: &[(String, u64)]) {
        self.hear(now, origin);
        let (now, bounds) = (self.now, self.bounds);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        let offered = source.records.values().filter(|r| r.instance.status.is_up()).count();
        let up = |key: &String| source.records.get(key).is_some_and(|r| r.instance.status.is_up());
        let lost = gone.iter().filter(|(key, _)| up(key)).count();
        let too_many = lost > 1 && lost as f64 > bounds.max_missing_share * offered as f64;
        for (key, version) in gone {
            let Some(record) = source.records.get_mut(key) else { continue };
            if too_many && record.instance.status.is_up() {
                let missing =
                    Missing { since: now, lists: 1, held: true, answered: None, unreachable: false };
                record.missing.get_or_insert(missing).held = true;
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

    /// An instance has answered on its sockets.
    pub fn record_answer(&mut self, now: Duration, key: &str) {
        self.now = self.now.max(now);
        let now = self.now;
        for missing in self.missing_of(key) {
            (missing.answered, missing.unreachable) = (Some(now), false);
        }
    }

    /// No connection to an instance could be made.
    pub fn record_unreachable(&mut self, now: Duration, key: &str) {
        self.now = self.now.max(now);
        for missing in self.missing_of(key) {
            (missing.answered, missing.unreachable) = (None, true);
        }
        // Without the answer its hold may have ended long ago.
        self.advance(now);
    }

    fn missing_of<'a>(&'a mut self, key: &'a str) -> impl Iterator<Item = &'a mut Missing> {
        let records = self.sources.iter_mut().filter_map(move |source| source.records.get_mut(key));
        records.filter_map(|record| record.missing.as_mut())
    }

    /// Time goes on; a clock that goes back stands. A source that could not be asked says nothing: it is not told.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        for source in 0..self.sources.len() {
            self.settle(source);
        }
    }

    fn hear(&mut self, now: Duration, origin: Origin) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        source.last_update = Some(now);
        if source.replica.is_none_or(|(replica, _)| replica != origin.replica) {
            source.replica = Some((origin.replica, now));
        }
    }

    /// A source says something of an instance that it lists.
    fn said(&mut self, origin: Origin, instance: Instance) {
        let (now, max_replica_lag, room) =
            (self.now, self.bounds.max_replica_lag, self.len() < self.bounds.max_instances);
        let Some(source) = self.sources.get_mut(origin.source) else { return };
        let since = source.replica.map_or(now, |(_, since)| since);
        // A replica that has just taken over may lag.
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
                    // It is listed, but what is said of it is old.
                    record.missing = None;
                    return;
                }
                *record = Record { instance, replica: origin.replica, last_update: now, missing: None };
            }
            None if !room => self.overflow += 1,
            None => {
                let record = Record { replica: origin.replica, last_update: now, missing: None, instance };
                source.records.insert(record.instance.key.clone(), record);
            }
        }
    }

    /// Ends what has been held for long enough, and forgets what is confirmed to be gone.
    fn settle(&mut self, source: usize) {
        let (now, bounds) = (self.now, self.bounds);
        let Some(source) = self.sources.get_mut(source) else { return };
        source.records.retain(|_, record| {
            let Some(missing) = &mut record.missing else { return true };
            let bound = missing.until(&bounds);
            missing.held &= now < bound && !(missing.unreachable && missing.lists >= bounds.confirming_lists);
            // What was never on offer, or is believed lost, goes when the lists agree.
            missing.held || missing.lists < bounds.confirming_lists
        });
        let forget = |(at, _): &(Duration, String)| now > *at + bounds.max_replica_lag;
        while let Some((at, key)) = source.deleted_in_order.front().filter(|entry| forget(entry)).cloned() {
            source.deleted_in_order.pop_front();
            if source.deleted.get(&key).is_some_and(|(_, when)| *when == at) {
                source.deleted.remove(&key);
            }
        }
    }

    /// When something changes by time alone, if anything does.
    pub fn next_deadline(&self) -> Option<Duration> {
        let records = self.sources.iter().flat_map(|source| source.records.values());
        let held = records.filter_map(|record| record.missing.filter(|missing| missing.held));
        held.map(|missing| missing.until(&self.bounds)).min()
    }

    /// Whether anybody is missing, so that time or further lists may change how he stands.
    pub fn has_missing(&self) -> bool {
        self.sources.iter().flat_map(|source| source.records.values()).any(|record| record.missing.is_some())
    }

    /// How one instance stands.
    pub fn state(&self, key: &str) -> MemberState {
        self.decided(key).map_or(MemberState::Removed, |(_, record)| record.state())
    }

    /// The record whose word counts.
    fn decided(&self, key: &str) -> Option<(usize, &Record)> {
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

    /// Everybody, with their provenance, in the order of their keys. Of several keys at one address the one that
    /// started last has it.
    pub fn members(&self) -> Vec<Member> {
        let mut keys: Vec<&String> = self.sources.iter().flat_map(|source| source.records.keys()).collect();
        keys.sort_unstable();
        keys.dedup();
        let mut members: Vec<Member> = keys
            .into_iter()
            .filter_map(|key| self.decided(key))
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
    /// When a hold ends at the latest.
    fn until(&self, bounds: &Bounds) -> Duration {
        let plain = self.since + bounds.max_hold;
        // Each answer is as good as a list for a while.
        let answered = self.answered.map_or(Duration::ZERO, |at| at + bounds.max_hold);
        plain.max(answered).min(self.since + bounds.max_hold_answering.max(bounds.max_hold))
    }
}

impl Record {
    fn state(&self) -> MemberState {
        let missing = self.missing.is_some_and(|missing| !missing.held);
        if self.instance.status == InstanceStatus::Up && self.instance.address.is_some() && !missing {
            MemberState::Available
        } else {
            MemberState::Draining
        }
    }

    fn hold(&self, bounds: &Bounds) -> Option<Hold> {
        let missing = self.missing.filter(|missing| missing.held)?;
        Some(Hold { since: missing.since, until: missing.until(bounds) })
    }
}

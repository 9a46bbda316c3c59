//! Leases on the shared document: the leader's side and the holder's.
//!
//! As with versions, a lease lasts by its holder's clock, read before it was requested. The leader reckons its end no earlier.

use crate::command::MAX_BODY_BYTES;
use crate::lease_times::{LeaseTimes, MAX_PENDING_REQUESTS};
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// What a leader knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
struct MemberRecord {
    /// Whether the member has a part in the document.
    participates: bool,
    /// The number that it acts on.
    active_number: u64,
    /// The number whose body it has.
    received_number: u64,
    /// The end of its lease by the leader's clock, if it was granted one.
    lease_end: Option<Duration>,
}

/// The leases on the shared document that a leader has granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentLeaseManager {
    times: LeaseTimes,
    elected_at: Duration,
    members: BTreeSet<Name>,
    records: BTreeMap<Name, MemberRecord>,
}

impl DocumentLeaseManager {
    /// Creates the state of a leader that was elected at this time.
    pub fn new(times: LeaseTimes, members: BTreeSet<Name>, elected_at: Duration) -> Self {
        Self { times, elected_at, members, records: BTreeMap::new() }
    }

    /// Records the number that a member acts on, and the number whose body it has. `active_number` is `None` for a member that has no
    /// part in the document. Returns whether the report is news.
    pub fn record_report(&mut self, name: &Name, active_number: Option<u64>, received_number: u64) -> bool {
        if !self.members.contains(name) {
            return false;
        }
        let unknown =
            MemberRecord { participates: false, active_number: 0, received_number, lease_end: None };
        let record = self.records.entry(name.clone()).or_insert(unknown);
        let is_news = active_number.is_some() != record.participates
            || active_number.is_some_and(|number| number > record.active_number);
        record.participates = active_number.is_some();
        // A member that has restarted may have less than before, and acts on nothing then.
        record.received_number = received_number;
        record.active_number = record.active_number.max(active_number.unwrap_or(0));
        is_news
    }

    /// Grants a lease. It must be certain that this leader still was one after the request. Returns `false` if the member has no part
    /// in the document.
    pub fn grant(&mut self, now: Duration, name: &Name) -> bool {
        let end = now + self.times.max_lease();
        let record = self.records.get_mut(name).filter(|record| record.participates);
        let Some(record) = record else { return false };
        record.lease_end = Some(record.lease_end.map_or(end, |previous| previous.max(end)));
        true
    }

    /// Returns the number that a member acts on, and the number whose body it has; `None` if it has no part in the document.
    pub fn reported_numbers(&self, name: &Name) -> Option<(u64, u64)> {
        let record = self.records.get(name).filter(|record| record.participates)?;
        Some((record.active_number, record.received_number))
    }

    /// Returns the end of a member's lease by this leader's clock; `None` if it granted none.
    pub fn lease_end(&self, name: &Name) -> Option<Duration> {
        self.records.get(name).and_then(|record| record.lease_end)
    }

    /// Returns the members that hold a lease and lack the body of this number.
    pub fn holders_without(&self, now: Duration, number: u64) -> BTreeSet<Name> {
        let lacks_body = |record: &MemberRecord| {
            record.participates
                && record.received_number < number
                && record.lease_end.is_some_and(|end| end > now)
        };
        self.records.iter().filter(|(_, record)| lacks_body(record)).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the highest number that any member has reported.
    pub fn highest_reported(&self) -> u64 {
        let numbers = self.records.values().map(|record| record.active_number.max(record.received_number));
        numbers.max().unwrap_or(0)
    }

    /// Returns whether all leases that an earlier leader may have granted have expired.
    pub fn have_earlier_leases_expired(&self, now: Duration) -> bool {
        now >= self.earlier_leases_end()
    }

    /// Returns the members that may still act on an earlier body than this one, with the longest remaining time for which they may.
    pub fn lagging_members(&self, now: Duration, newest_number: u64) -> Vec<(Name, Duration)> {
        let remaining = |name: &Name| {
            let record = self.records.get(name);
            if newest_number == 0 || record.is_some_and(|record| record.active_number >= newest_number) {
                return None;
            }
            let earlier = self.earlier_leases_end();
            let end = record.and_then(|record| record.lease_end).map_or(earlier, |end| end.max(earlier));
            let remaining = end.checked_sub(now).filter(|remaining| !remaining.is_zero())?;
            Some((name.clone(), remaining))
        };
        self.members.iter().filter_map(remaining).collect()
    }

    /// Returns the latest end of a lease that an earlier leader may have granted.
    fn earlier_leases_end(&self) -> Duration {
        self.elected_at + self.times.max_lease()
    }
}

/// The body of the shared document that a member has, and its lease on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentLeaseHolder {
    times: LeaseTimes,
    /// The numbers of requests without an answer, with the times of the clock before they were sent.
    pending_requests: VecDeque<(u64, Duration)>,
    number: u64,
    body: Arc<[u8]>,
    lease_end: Option<Duration>,
}

impl DocumentLeaseHolder {
    /// Creates the state of a member that has received nothing.
    pub fn new(times: LeaseTimes) -> Self {
        Self { times, pending_requests: VecDeque::new(), number: 0, body: Arc::default(), lease_end: None }
    }

    /// Begins a request for a lease. `now` must be read before the request is sent.
    pub fn begin_request(&mut self, request_id: u64, now: Duration) {
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests.push_back((request_id, now));
    }

    /// Accepts a lease on the document of this number, with its body if that was lacking. Without a request the body alone is accepted.
    /// Returns whether the body is another one.
    pub fn accept_grant(&mut self, request_id: Option<u64>, number: u64, body: Option<Arc<[u8]>>) -> bool {
        let is_request = |id: u64| self.pending_requests.iter().find(|(pending, _)| *pending == id);
        let request = request_id.and_then(is_request).copied();
        if number < self.number || (request_id.is_some() && request.is_none()) {
            return false;
        }
        let is_new = number > self.number;
        if is_new {
            // A lease on a body that is not known does not count.
            let Some(body) = body.filter(|body| body.len() <= MAX_BODY_BYTES) else { return false };
            (self.number, self.body) = (number, body);
        }
        if let Some((request_id, requested_at)) = request {
            self.pending_requests.retain(|(pending, _)| *pending > request_id);
            let end = requested_at + self.times.min_lease();
            self.lease_end = Some(self.lease_end.map_or(end, |previous| previous.max(end)));
        }
        is_new
    }

    /// Returns the newest number that this member has received, with its body; the number is 0 if there is none.
    pub fn newest(&self) -> (u64, &Arc<[u8]>) {
        (self.number, &self.body)
    }

    /// Returns the end of the lease; `None` if there was none yet.
    pub fn lease_end(&self) -> Option<Duration> {
        self.lease_end
    }
}

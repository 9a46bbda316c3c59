//! A common document: one body of bytes that is agreed on at once, without the two steps of versions.
//!
//! [`Document`] is what the log comes to, [`Given`] the leader's side of leases on it, [`Holding`] a member's. As with versions a
//! lease lasts by its holder's clock, read before it was asked for; the leader reckons its end no earlier.

use crate::lease_manager::{LeaseTimes, MAX_CLOCK_DRIFT};
use crate::version_state::CommandError;
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The longest body, in bytes: two parts of 256 KiB, and what they are bound by.
pub const MAX_BODY_BYTES: usize = (512 << 10) + 256;
/// The most requests for a lease that may be under way.
const MAX_PENDING_REQUESTS: usize = 16;

/// The document in force, by the log; number 0 is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SharedDocument {
    /// Its number: each is the next one.
    pub number: u64,
    /// Its bytes.
    pub body: Arc<[u8]>,
    /// The log was written by a program that knows no common document, and may lack some.
    pub has_gap: bool,
}

impl SharedDocument {
    /// Takes another body, if this number is in force. Where the log has a gap, a later number says what was missed: a leader
    /// proposes on what is in force alone.
    pub fn replace(&mut self, expect: u64, body: &[u8]) -> Result<u64, CommandError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(CommandError::DocumentTooLong);
        }
        let missed = self.has_gap && expect > self.number;
        let next = expect.checked_add(1).filter(|_| expect == self.number || missed);
        let Some(next) = next else { return Err(CommandError::UnexpectedDocument { number: self.number }) };
        *self = Self { number: next, body: body.into(), has_gap: false };
        Ok(next)
    }

    /// Keeps what is known here, where a snapshot of a program that knows no common document takes the place of the log.
    pub fn restored_over(self, before: Self) -> Self {
        if self.has_gap && before.number > self.number { Self { has_gap: true, ..before } } else { self }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct MemberRecord {
    /// It has a part in the common document, and not its program alone.
    participates: bool,
    active_number: u64,
    received_number: u64,
    lease_end: Option<Duration>,
}

/// What a leader has granted of the common document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentLeaseManager {
    times: LeaseTimes,
    elected_at: Duration,
    members: BTreeSet<Name>,
    records: BTreeMap<Name, MemberRecord>,
}

impl DocumentLeaseManager {
    /// A leader's, from its election on.
    pub fn new(times: LeaseTimes, members: BTreeSet<Name>, elected: Duration) -> Self {
        Self { times, elected_at: elected, members, records: BTreeMap::new() }
    }

    /// A member says the number that it acts on, and of which it has the body; `None`: it has no part. `true`: that is news.
    pub fn record_report(&mut self, name: &Name, acts: Option<u64>, has: u64) -> bool {
        if !self.members.contains(name) {
            return false;
        }
        let fresh =
            MemberRecord { participates: false, active_number: 0, received_number: has, lease_end: None };
        let held = self.records.entry(name.clone()).or_insert(fresh);
        let news = acts.is_some() != held.participates || acts.is_some_and(|acts| acts > held.active_number);
        // What it has may be less than before: it was started again, and acts on nothing then.
        (held.participates, held.received_number) = (acts.is_some(), has);
        held.active_number = held.active_number.max(acts.unwrap_or(0));
        news
    }

    /// Grants a lease, once it is certain that this leader still was one after the request. `false`: it has no part.
    pub fn grant(&mut self, now: Duration, name: &Name) -> bool {
        let until = now + self.times.max_lease();
        let Some(held) = self.records.get_mut(name).filter(|held| held.participates) else { return false };
        held.lease_end = Some(held.lease_end.map_or(until, |before| before.max(until)));
        true
    }

    /// The number that a member said it acts on, and of which it has the body; `None`: it has no part.
    pub fn reported_numbers(&self, name: &Name) -> Option<(u64, u64)> {
        self.records
            .get(name)
            .filter(|held| held.participates)
            .map(|held| (held.active_number, held.received_number))
    }

    /// Until when a member's lease may hold, by this leader's clock.
    pub fn lease_end(&self, name: &Name) -> Option<Duration> {
        self.records.get(name).and_then(|held| held.lease_end)
    }

    /// Who holds a lease and lacks this body.
    pub fn holders_without(&self, now: Duration, number: u64) -> BTreeSet<Name> {
        let lacks = |held: &MemberRecord| {
            held.participates
                && held.received_number < number
                && held.lease_end.is_some_and(|until| until > now)
        };
        self.records.iter().filter(|(_, held)| lacks(held)).map(|(name, _)| name.clone()).collect()
    }

    /// The highest number that somebody has said.
    pub fn highest_reported(&self) -> u64 {
        self.records.values().map(|held| held.active_number.max(held.received_number)).max().unwrap_or(0)
    }

    /// Whether the longest lease that the leader before may have granted has run out.
    pub fn have_earlier_leases_expired(&self, now: Duration) -> bool {
        now >= self.elected_at + self.times.max_lease()
    }

    /// Who may still act on an earlier body than this one, and for how long at the most.
    pub fn lagging_members(&self, now: Duration, newest: u64) -> Vec<(Name, Duration)> {
        let elected = self.elected_at + self.times.max_lease();
        let left = |name: &Name| {
            let held = self.records.get(name);
            if newest == 0 || held.is_some_and(|held| held.active_number >= newest) {
                return None;
            }
            let until = held.and_then(|held| held.lease_end).map_or(elected, |until| until.max(elected));
            until.checked_sub(now).filter(|left| !left.is_zero()).map(|left| (name.clone(), left))
        };
        self.members.iter().filter_map(left).collect()
    }
}

/// What a member holds of the common document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentLeaseHolder {
    times: LeaseTimes,
    pending_requests: VecDeque<(u64, Duration)>,
    number: u64,
    body: Arc<[u8]>,
    lease_end: Option<Duration>,
}

impl DocumentLeaseHolder {
    /// One that has been told nothing.
    pub fn new(times: LeaseTimes) -> Self {
        Self { times, pending_requests: VecDeque::new(), number: 0, body: Arc::default(), lease_end: None }
    }

    /// A lease is asked for by this request, whose time was read before it is sent.
    pub fn begin_request(&mut self, request: u64, now: Duration) {
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests.push_back((request, now));
    }

    /// It is granted at this number, with the body where that was lacking; without a request the body alone is told. `true`:
    /// another body.
    pub fn accept_grant(&mut self, request: Option<u64>, number: u64, body: Option<Arc<[u8]>>) -> bool {
        let asked =
            request.and_then(|request| self.pending_requests.iter().find(|(of, _)| *of == request).copied());
        if number < self.number || (request.is_some() && asked.is_none()) {
            return false;
        }
        let news = number > self.number;
        if news {
            // A lease for a body that is not known is none.
            let Some(body) = body.filter(|body| body.len() <= MAX_BODY_BYTES) else { return false };
            (self.number, self.body) = (number, body);
        }
        if let Some((request, at)) = asked {
            self.pending_requests.retain(|(other, _)| *other > request);
            // A clock that goes slow must not make it longer.
            let until = at + self.times.lease.mul_f64(1.0 - MAX_CLOCK_DRIFT);
            self.lease_end = Some(self.lease_end.map_or(until, |before| before.max(until)));
        }
        news
    }

    /// The newest number that it was told, and its body; 0 is none.
    pub fn newest(&self) -> (u64, &Arc<[u8]>) {
        (self.number, &self.body)
    }

    /// Until when it may act on it.
    pub fn lease_end(&self) -> Option<Duration> {
        self.lease_end
    }
}

//! A common document: one body of bytes that is agreed on at once, without the two steps of versions.
//!
//! [`Document`] is what the log comes to, [`Given`] the leader's side of leases on it, [`Holding`] a member's. As with versions a
//! lease lasts by its holder's clock, read before it was asked for; the leader reckons its end no earlier.

use crate::grants::{DRIFT, Times};
use crate::steps::Refused;
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The longest body, in bytes: two parts of 256 KiB, and what they are bound by.
pub const BODY_MOST: usize = (512 << 10) + 256;
/// The most requests for a lease that may be under way.
const ASKED_MOST: usize = 16;

/// The document in force, by the log; number 0 is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Document {
    /// Its number: each is the next one.
    pub number: u64,
    /// Its bytes.
    pub body: Arc<[u8]>,
    /// The log was written by a program that knows no common document, and may lack some.
    pub gap: bool,
}

impl Document {
    /// Takes another body, if this number is in force. Where the log has a gap, a later number says what was missed: a leader
    /// proposes on what is in force alone.
    pub fn play(&mut self, expect: u64, body: &[u8]) -> Result<u64, Refused> {
        if body.len() > BODY_MOST {
            return Err(Refused::BodyTooLong);
        }
        let missed = self.gap && expect > self.number;
        let next = expect.checked_add(1).filter(|_| expect == self.number || missed);
        let Some(next) = next else { return Err(Refused::Common { number: self.number }) };
        *self = Self { number: next, body: body.into(), gap: false };
        Ok(next)
    }

    /// Keeps what is known here, where a snapshot of a program that knows no common document takes the place of the log.
    pub fn after(self, before: Self) -> Self {
        if self.gap && before.number > self.number { Self { gap: true, ..before } } else { self }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    /// It has a part in the common document, and not its program alone.
    part: bool,
    acts: u64,
    has: u64,
    until: Option<Duration>,
}

/// What a leader has granted of the common document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    times: Times,
    since: Duration,
    members: BTreeSet<Name>,
    held: BTreeMap<Name, Held>,
}

impl Given {
    /// A leader's, from its election on.
    pub fn new(times: Times, members: BTreeSet<Name>, elected: Duration) -> Self {
        Self { times, since: elected, members, held: BTreeMap::new() }
    }

    /// A member says the number that it acts on, and of which it has the body; `None`: it has no part. `true`: that is news.
    pub fn heard(&mut self, name: &Name, acts: Option<u64>, has: u64) -> bool {
        if !self.members.contains(name) {
            return false;
        }
        let fresh = Held { part: false, acts: 0, has, until: None };
        let held = self.held.entry(name.clone()).or_insert(fresh);
        let news = acts.is_some() != held.part || acts.is_some_and(|acts| acts > held.acts);
        // What it has may be less than before: it was started again, and acts on nothing then.
        (held.part, held.has) = (acts.is_some(), has);
        held.acts = held.acts.max(acts.unwrap_or(0));
        news
    }

    /// Grants a lease, once it is certain that this leader still was one after the request. `false`: it has no part.
    pub fn grant(&mut self, now: Duration, name: &Name) -> bool {
        let until = now + self.times.longest_lease();
        let Some(held) = self.held.get_mut(name).filter(|held| held.part) else { return false };
        held.until = Some(held.until.map_or(until, |before| before.max(until)));
        true
    }

    /// The number that a member said it acts on, and of which it has the body; `None`: it has no part.
    pub fn of(&self, name: &Name) -> Option<(u64, u64)> {
        self.held.get(name).filter(|held| held.part).map(|held| (held.acts, held.has))
    }

    /// Until when a member's lease may hold, by this leader's clock.
    pub fn until(&self, name: &Name) -> Option<Duration> {
        self.held.get(name).and_then(|held| held.until)
    }

    /// Who holds a lease and lacks this body.
    pub fn lack(&self, now: Duration, number: u64) -> BTreeSet<Name> {
        let lacks =
            |held: &Held| held.part && held.has < number && held.until.is_some_and(|until| until > now);
        self.held.iter().filter(|(_, held)| lacks(held)).map(|(name, _)| name.clone()).collect()
    }

    /// The highest number that somebody has said.
    pub fn highest(&self) -> u64 {
        self.held.values().map(|held| held.acts.max(held.has)).max().unwrap_or(0)
    }

    /// Whether the longest lease that the leader before may have granted has run out.
    pub fn alone(&self, now: Duration) -> bool {
        now >= self.since + self.times.longest_lease()
    }

    /// Who may still act on an earlier body than this one, and for how long at the most.
    pub fn behind(&self, now: Duration, newest: u64) -> Vec<(Name, Duration)> {
        let elected = self.since + self.times.longest_lease();
        let left = |name: &Name| {
            let held = self.held.get(name);
            if newest == 0 || held.is_some_and(|held| held.acts >= newest) {
                return None;
            }
            let until = held.and_then(|held| held.until).map_or(elected, |until| until.max(elected));
            until.checked_sub(now).filter(|left| !left.is_zero()).map(|left| (name.clone(), left))
        };
        self.members.iter().filter_map(left).collect()
    }
}

/// What a member holds of the common document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    times: Times,
    asked: VecDeque<(u64, Duration)>,
    number: u64,
    body: Arc<[u8]>,
    until: Option<Duration>,
}

impl Holding {
    /// One that has been told nothing.
    pub fn new(times: Times) -> Self {
        Self { times, asked: VecDeque::new(), number: 0, body: Arc::default(), until: None }
    }

    /// A lease is asked for by this request, whose time was read before it is sent.
    pub fn ask(&mut self, request: u64, now: Duration) {
        if self.asked.len() == ASKED_MOST {
            self.asked.pop_front();
        }
        self.asked.push_back((request, now));
    }

    /// It is granted at this number, with the body where that was lacking; without a request the body alone is told. `true`:
    /// another body.
    pub fn granted(&mut self, request: Option<u64>, number: u64, body: Option<Arc<[u8]>>) -> bool {
        let asked = request.and_then(|request| self.asked.iter().find(|(of, _)| *of == request).copied());
        if number < self.number || (request.is_some() && asked.is_none()) {
            return false;
        }
        let news = number > self.number;
        if news {
            // A lease for a body that is not known is none.
            let Some(body) = body.filter(|body| body.len() <= BODY_MOST) else { return false };
            (self.number, self.body) = (number, body);
        }
        if let Some((request, at)) = asked {
            self.asked.retain(|(other, _)| *other > request);
            // A clock that goes slow must not make it longer.
            let until = at + self.times.lease.mul_f64(1.0 - DRIFT);
            self.until = Some(self.until.map_or(until, |before| before.max(until)));
        }
        news
    }

    /// The newest number that it was told, and its body; 0 is none.
    pub fn newest(&self) -> (u64, &Arc<[u8]>) {
        (self.number, &self.body)
    }

    /// Until when it may act on it.
    pub fn until(&self) -> Option<Duration> {
        self.until
    }
}

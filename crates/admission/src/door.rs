//! The places at the door and what is decided about them; the rules stand in the crate's page.

use crate::address::{Key, Networks};
use crate::links::{Link, Links, List};
use crate::peers::Peers;
use crate::policy::Policy;
use crate::refusal::{Reason, Refusal};
use std::net::IpAddr;
use std::time::Duration;

/// Connections that have been told to end and may not have yet, at the most: each still holds a descriptor.
const LEAVING_MOST: usize = 4;
/// Refusals a second that get a whole answer, and how many at once; the others are closed on.
const ANSWERS: (f64, f64) = (500.0, 64.0);
/// Share of the places from which on tenants that hold more than their part give theirs back.
const CROWDED: f64 = 0.75;
/// Places that a tenant may hold in any case.
const TENANT_LEAST: f64 = 4.0;
/// Bytes that come closer to one another than this have been sent at one moment.
const MOMENT: Duration = Duration::from_millis(20);
/// Connections between two requests that are kept in any case.
const IDLE_LEAST: usize = 4;

/// One connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnId {
    slot: u32,
    generation: u32,
}

/// What becomes of a connection that comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It is let in under this name; another has to end for it, if one is named.
    Kept {
        /// Its name.
        id: ConnId,
        /// Whom the embedder has to end.
        ends: Option<ConnId>,
    },
    /// It is not.
    Refused(Refusal),
}

/// What becomes of connections once one has had its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct After {
    /// The one that was answered ends with its answer: its tenant holds more than its part, or there are fewer
    /// places than there were.
    pub close: bool,
    /// Another one that has to end: more stand idle than are kept.
    pub ends: Option<ConnId>,
}

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The slot is not in use.
    Free,
    /// Nothing has come.
    Silent,
    /// A part of a request has come, at one moment.
    Begun,
    /// Parts of a request have come one after another; it stands here since the last of them.
    Writing,
    /// It has had answers, but never asked for anything that a request is made of.
    Checked,
    /// A request is owed its answer.
    Held,
    /// Between two requests.
    Idle,
    /// Told to end.
    Leaving,
}

const RANKS: usize = 5;
const IDLE: usize = RANKS - 1;

/// The list that connections of a state are in while nobody waits for their answer.
fn rank(state: State) -> Option<usize> {
    match state {
        State::Silent => Some(0),
        State::Begun => Some(1),
        State::Writing => Some(2),
        State::Checked => Some(3),
        State::Idle => Some(IDLE),
        State::Free | State::Held | State::Leaving => None,
    }
}

#[derive(Clone, Debug)]
struct Conn {
    generation: u32,
    state: State,
    known: bool,
    /// Whether it ever asked for anything fit.
    proven: bool,
    /// Whether caps and rates leave it out.
    exempt: bool,
    tenant: Option<u32>,
    since: Duration,
    address: u32,
    prefix: u32,
    links: [Link; 3],
}

/// Which of a connection's links.
const BY_RANK: usize = 0;
const BY_ADDRESS: usize = 1;
const BY_PREFIX: usize = 2;

struct Along<'a>(&'a mut Vec<Conn>, usize);

impl Links for Along<'_> {
    fn link(&mut self, entry: u32) -> &mut Link {
        &mut self.0[entry as usize].links[self.1]
    }
}

/// The places, and who holds them.
pub struct Door {
    policy: Policy,
    /// Known beside those of the policy.
    known: Networks,
    places: usize,
    conns: Vec<Conn>,
    free: Vec<u32>,
    /// By known or not, then by rank.
    lists: [[List; RANKS]; 2],
    open: [usize; 2],
    leaving: usize,
    addresses: Peers,
    prefixes: Peers,
    /// Each tenant's part of the guarantees, its open connections, and the known ones of them.
    parts: Vec<f64>,
    of_tenant: Vec<u32>,
    known_of_tenant: Vec<u32>,
    answers: f64,
    answers_at: f64,
    refused: u64,
}

impl Door {
    /// A door with this many places. `guarantees`: what the decision module guarantees each tenant, in any
    /// unit; `seed` keeps clients from choosing where they fall in tables.
    pub fn new(policy: Policy, places: usize, guarantees: &[f64], seed: u64) -> Self {
        let mut door = Self {
            places: places.max(1),
            conns: Vec::new(),
            free: Vec::new(),
            lists: Default::default(),
            open: [0; 2],
            leaving: 0,
            addresses: Peers::new(policy.remembered, seed),
            prefixes: Peers::new(policy.remembered, seed ^ 0x9e37_79b9),
            parts: Vec::new(),
            of_tenant: Vec::new(),
            known_of_tenant: Vec::new(),
            answers: ANSWERS.1,
            answers_at: 0.0,
            refused: 0,
            known: Networks::default(),
            policy,
        };
        door.guarantee(guarantees);
        door
    }

    /// The tenants are guaranteed this from now on. They keep their numbers: there are no fewer than before.
    pub fn guarantee(&mut self, guarantees: &[f64]) {
        let all: f64 = guarantees.iter().sum();
        let part = |g: &f64| if all > 0.0 { g / all } else { 1.0 / guarantees.len() as f64 };
        self.parts = guarantees.iter().map(part).collect();
        let tenants = guarantees.len().max(self.of_tenant.len());
        self.parts.resize(tenants, 0.0);
        self.of_tenant.resize(tenants, 0);
        self.known_of_tenant.resize(tenants, 0);
    }

    /// Clients from there are known from now on, beside those of the policy. Whoever is in keeps what it was let in as.
    pub fn know(&mut self, networks: Networks) {
        self.known = networks;
    }

    /// Connections let in and not told to end.
    pub fn open(&self) -> usize {
        self.open[0] + self.open[1]
    }

    /// Entries of state: connections, addresses and prefixes remembered. Bounded: see the tests.
    pub fn entries(&self) -> usize {
        self.conns.len() + self.addresses.len() + self.prefixes.len()
    }

    /// There are this many places from now on. While [`Self::excess`] names connections, they have to end.
    pub fn resize(&mut self, places: usize) {
        self.places = places.max(1);
    }

    /// One connection more than there are places for, to be ended; `None` if there is none that may end.
    pub fn excess(&mut self, now: Duration) -> Option<ConnId> {
        if self.open() > self.places { self.shed(now) } else { None }
    }

    /// The connection with which least is lost, to be ended; `None` if all are owed answers.
    pub fn shed(&mut self, now: Duration) -> Option<ConnId> {
        self.least(now, 2).map(|slot| self.end(slot))
    }

    /// Someone has connected.
    pub fn arrive(&mut self, now: Duration, address: IpAddr) -> Arrival {
        let (at, burst) = (now.as_secs_f64(), self.policy.burst);
        let entry = self.addresses.enter(Key::of(address), at, burst);
        let net = Key::prefix(address, self.policy.prefix_v4, self.policy.prefix_v6);
        let times = self.policy.prefix_times;
        let prefix = self.prefixes.enter(net, at, burst * times.unwrap_or(1.0));
        let listed = self.policy.known.iter().any(|n| n.contains(address)) || self.known.contains(address);
        let known = listed && self.addresses.of(entry).known < self.known_most();
        let exempt = known || self.policy.fronts.iter().any(|n| n.contains(address));
        let mut ends = None;
        if !exempt {
            match self.capped(at, entry, prefix) {
                Ok(own) => ends = own,
                Err(reason) => return Arrival::Refused(self.refuse(now, reason)),
            }
        }
        if ends.is_none() && !self.has_room(known) {
            // A known client takes an unknown one's place; unknown ones leave the known alone.
            ends = self.least(now, 1);
            if ends.is_none() && known {
                ends = self.least(now, 2);
            }
            if ends.is_none() {
                return Arrival::Refused(self.refuse(now, Reason::Full));
            }
        }
        if ends.is_some() && self.leaving >= LEAVING_MOST {
            return Arrival::Refused(self.refuse(now, Reason::Full));
        }
        let ends = ends.map(|slot| self.end(slot));
        let conn = Conn {
            generation: 0,
            state: State::Free,
            known,
            proven: false,
            exempt,
            tenant: None,
            since: now,
            address: entry,
            prefix,
            links: Default::default(),
        };
        Arrival::Kept { id: self.insert(now, conn), ends }
    }

    /// Bytes of a request have come on a connection that is owed no answer.
    pub fn came(&mut self, now: Duration, id: ConnId) {
        let Some(slot) = self.slot(id) else { return };
        let Conn { state, since, .. } = self.conns[slot as usize];
        match state {
            State::Held => {}
            State::Writing => self.enter(now, slot, State::Writing),
            State::Begun if now >= since + MOMENT => self.enter(now, slot, State::Writing),
            // What comes in one go says nothing of whether more will.
            State::Begun => {}
            _ => self.enter(now, slot, State::Begun),
        }
    }

    /// A request is here whole and fit to be answered. `tenant`: whose it is. `vouched`: the client is known
    /// by what the request says.
    pub fn held(&mut self, now: Duration, id: ConnId, tenant: Option<u32>, vouched: bool) {
        let Some(slot) = self.slot(id) else { return };
        self.enter(now, slot, State::Held);
        self.prove(slot);
        let old = self.conns[slot as usize].tenant;
        if old != tenant {
            self.count_tenant(slot, false);
            self.conns[slot as usize].tenant = tenant;
            self.count_tenant(slot, true);
        }
        let cap = self.known_most();
        let room = match tenant.and_then(|t| self.known_of_tenant.get(t as usize)) {
            Some(known) => *known < cap,
            None => {
                let address = self.conns[slot as usize].address;
                self.addresses.of(address).known < cap
            }
        };
        if vouched && room && !self.conns[slot as usize].known {
            self.make_known(slot);
        }
    }

    /// The request that was held has its answer.
    pub fn answered(&mut self, now: Duration, id: ConnId) -> After {
        let Some(slot) = self.slot(id) else { return After::default() };
        if !self.conns[slot as usize].proven {
            return self.checked(now, id);
        }
        self.enter(now, slot, State::Idle);
        let conn = &self.conns[slot as usize];
        let crowded = self.open() as f64 >= CROWDED * self.places as f64;
        let holds = conn.tenant.and_then(|t| Some((self.of_tenant.get(t as usize)?, self.parts[t as usize])));
        let over = holds.is_some_and(|(holds, part)| {
            let most = self.policy.tenant_times * part * self.places as f64;
            f64::from(*holds) > most.max(TENANT_LEAST)
        });
        let keeps = ((self.places as f64 * self.policy.keep_alive) as usize).max(IDLE_LEAST);
        let idle = [0, 1].map(|k| self.lists[k][IDLE]);
        let spare = if idle[0].len() + idle[1].len() > keeps { idle[0].first() } else { None };
        After {
            close: (crowded && over && !conn.known) || self.open() > self.places,
            ends: spare.filter(|_| self.leaving < LEAVING_MOST).map(|slot| self.end(slot)),
        }
    }

    /// A question that no request is made of has its answer: after our health, or unfit.
    pub fn checked(&mut self, now: Duration, id: ConnId) -> After {
        let Some(slot) = self.slot(id) else { return After::default() };
        let state = if self.conns[slot as usize].proven { State::Idle } else { State::Checked };
        self.enter(now, slot, state);
        After { close: self.open() > self.places, ends: None }
    }

    /// It has ended.
    pub fn left(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get(id.slot as usize).filter(|c| c.generation == id.generation) else {
            return;
        };
        match conn.state {
            State::Free => return,
            State::Leaving => self.leaving -= 1,
            _ => self.release(id.slot),
        }
        let conn = &mut self.conns[id.slot as usize];
        conn.state = State::Free;
        conn.generation = conn.generation.wrapping_add(1);
        self.free.push(id.slot);
    }

    /// The slot of a connection that is let in and not told to end.
    fn slot(&self, id: ConnId) -> Option<u32> {
        let conn = self.conns.get(id.slot as usize)?;
        let here = conn.generation == id.generation && !matches!(conn.state, State::Free | State::Leaving);
        here.then_some(id.slot)
    }

    fn reserve(&self) -> usize {
        self.policy.reserve_of(self.places)
    }

    fn known_most(&self) -> u32 {
        (self.reserve() as f64 * self.policy.known_most).ceil() as u32
    }

    fn has_room(&self, known: bool) -> bool {
        // What the known do not use of their reserve is left empty for them.
        let taken = if known { self.open[1] } else { self.open[1].max(self.reserve()) };
        self.open[0] + taken < self.places
    }

    /// What the caps say of one more connection: one of the same origin may have to end for it.
    fn capped(&mut self, at: f64, address: u32, prefix: u32) -> Result<Option<u32>, Reason> {
        let Policy { rate, burst, per_address, prefix_times, .. } = self.policy;
        let unproven = self.policy.unproven_of(self.places);
        let times = prefix_times.unwrap_or(f64::INFINITY);
        let many = |n: u32| (f64::from(n) * times) as u32;
        if let Some(rate) = rate {
            let spent = self.addresses.of(address).spend(at, rate, burst);
            if !spent
                || !(times.is_infinite() || self.prefixes.of(prefix).spend(at, rate * times, burst * times))
            {
                return Err(Reason::Rate);
            }
        }
        let mut own = None;
        for (peer, most, all) in [
            (self.addresses.of(address), unproven, per_address),
            (self.prefixes.of(prefix), many(unproven), per_address.map(many)),
        ] {
            let full = all.is_some_and(|all| peer.open >= all);
            if full || peer.unproven.len() >= most as usize {
                // Its own oldest goes: behind a shared address, whoever asks at once still gets through.
                own = own.or(peer.unproven.first());
                if own.is_none() {
                    return Err(Reason::Share);
                }
            }
        }
        Ok(own)
    }

    /// The connection with which least is lost, unknown ones before known: of the first or of both kinds.
    fn least(&self, now: Duration, kinds: usize) -> Option<u32> {
        let Policy { prompt, slow, spare, .. } = self.policy;
        self.lists[..kinds].iter().find_map(|[silent, begun, writing, checked, idle]| {
            let old = |list: &List, than: Duration| {
                list.first().filter(|slot| now.saturating_sub(self.conns[*slot as usize].since) > than)
            };
            // Whoever still writes goes last: it is known to want something, and all that it has sent is lost with it.
            old(silent, prompt)
                .or(old(begun, slow))
                .or(old(writing, slow))
                .or(checked.first())
                .or(old(idle, spare))
                .or(silent.first())
                .or(idle.first())
                .or(begun.first())
                .or(writing.first())
        })
    }

    /// Somebody is refused whom the door was not asked about, as where there is no descriptor to let anybody in.
    pub fn refuse(&mut self, now: Duration, reason: Reason) -> Refusal {
        let at = now.as_secs_f64();
        let (rate, burst) = ANSWERS;
        self.answers = (self.answers + (at - self.answers_at).max(0.0) * rate).min(burst);
        self.answers_at = at;
        let answered = self.answers >= 1.0;
        if answered {
            self.answers -= 1.0;
        }
        // Spread evenly over half to one and a half times, so that they do not return together.
        self.refused = self.refused.wrapping_add(1);
        let spread = (self.refused as f64 * 0.618_033_988_75).fract();
        let retry_after = self.policy.retry_after.mul_f64(0.5 + spread);
        Refusal { reason, answered, retry_after }
    }

    fn insert(&mut self, now: Duration, conn: Conn) -> ConnId {
        self.open[usize::from(conn.known)] += 1;
        self.addresses.opened(conn.address);
        self.addresses.of(conn.address).known += u32::from(conn.known);
        self.prefixes.opened(conn.prefix);
        let slot = match self.free.pop() {
            Some(slot) => {
                let generation = self.conns[slot as usize].generation;
                self.conns[slot as usize] = Conn { generation, ..conn };
                slot
            }
            None => {
                self.conns.push(conn);
                (self.conns.len() - 1) as u32
            }
        };
        if !self.conns[slot as usize].exempt {
            self.unproven(slot, true);
        }
        self.enter(now, slot, State::Silent);
        ConnId { slot, generation: self.conns[slot as usize].generation }
    }

    /// Moves a connection to another state and its list.
    fn enter(&mut self, now: Duration, slot: u32, state: State) {
        let conn = &mut self.conns[slot as usize];
        let (old, known) = (std::mem::replace(&mut conn.state, state), usize::from(conn.known));
        conn.since = now;
        let mut along = Along(&mut self.conns, BY_RANK);
        if let Some(old) = rank(old) {
            self.lists[known][old].remove(&mut along, slot);
        }
        if let Some(new) = rank(state) {
            self.lists[known][new].push(&mut along, slot);
        }
    }

    fn unproven(&mut self, slot: u32, enters: bool) {
        let (address, prefix) = (self.conns[slot as usize].address, self.conns[slot as usize].prefix);
        let lists = [
            (&mut self.addresses.of(address).unproven, BY_ADDRESS),
            (&mut self.prefixes.of(prefix).unproven, BY_PREFIX),
        ];
        for (list, by) in lists {
            let mut along = Along(&mut self.conns, by);
            if enters {
                list.push(&mut along, slot);
            } else {
                list.remove(&mut along, slot);
            }
        }
    }

    /// It has asked for something fit: it counts no more against its origin, which gets its rate back.
    fn prove(&mut self, slot: u32) {
        let conn = &mut self.conns[slot as usize];
        if std::mem::replace(&mut conn.proven, true) || conn.exempt {
            return;
        }
        let (address, prefix) = (conn.address, conn.prefix);
        self.unproven(slot, false);
        let burst = self.policy.burst;
        for (peer, most) in [
            (self.addresses.of(address), burst),
            (self.prefixes.of(prefix), burst * self.policy.prefix_times.unwrap_or(1.0)),
        ] {
            peer.tokens = (peer.tokens + 1.0).min(most);
        }
    }

    /// Counts a connection among the known from now on. It is held: it is in no list.
    fn make_known(&mut self, slot: u32) {
        let conn = &mut self.conns[slot as usize];
        conn.known = true;
        let (address, tenant) = (conn.address, conn.tenant);
        self.open[0] -= 1;
        self.open[1] += 1;
        self.addresses.of(address).known += 1;
        if let Some(known) = tenant.and_then(|t| self.known_of_tenant.get_mut(t as usize)) {
            *known += 1;
        }
    }

    fn count_tenant(&mut self, slot: u32, comes: bool) {
        let conn = &self.conns[slot as usize];
        let Some(tenant) = conn.tenant.map(|t| t as usize).filter(|t| *t < self.of_tenant.len()) else {
            return;
        };
        let counts = [(&mut self.of_tenant, 1), (&mut self.known_of_tenant, u32::from(conn.known))];
        for (count, n) in counts {
            count[tenant] = if comes { count[tenant] + n } else { count[tenant] - n };
        }
    }

    /// Takes a connection out of all lists and counts.
    fn release(&mut self, slot: u32) {
        self.enter(Duration::ZERO, slot, State::Leaving);
        self.count_tenant(slot, false);
        let conn = &self.conns[slot as usize];
        let (known, address, prefix) = (conn.known, conn.address, conn.prefix);
        if !conn.proven && !conn.exempt {
            self.unproven(slot, false);
        }
        self.open[usize::from(known)] -= 1;
        self.addresses.of(address).known -= u32::from(known);
        self.addresses.ended(address);
        self.prefixes.ended(prefix);
    }

    /// Tells a connection to end.
    fn end(&mut self, slot: u32) -> ConnId {
        self.release(slot);
        self.leaving += 1;
        ConnId { slot, generation: self.conns[slot as usize].generation }
    }
}

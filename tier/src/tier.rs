//! One balancer's part in the tier: datagrams and time go in, datagrams and news come out.
//!
//! The gossip itself (SWIM with suspicion) is the `foca` crate's. Here stands what it leaves to its embedder: time, which
//! goes slower for a balancer that does badly itself (Lifeguard), starts and names, versions, replays, the calls to those
//! who are away, and the words.

use crate::gossip::{Asked, Ear, GOSSIP, Listens, config};
use crate::identity::{Identity, Program, WIRE, Wire};
use crate::name::Name;
use crate::peers::Away;
use crate::roster::{Apart, Roster, Seen, State};
use crate::suspicion::Suspicion;
use crate::window::{Stale, Windows};
use crate::wire::{Envelope, Malformed, Notes, Scribe, sift};
use crate::words::{Claim, Effect, Word};
use foca::{Foca, State as Believed, Timer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Between two probes, as long as all goes well.
pub const PERIOD: Duration = Duration::from_millis(500);
/// Between two looks at who is away, and at words.
const TICK: Duration = Duration::from_millis(100);
/// Between two bursts of words to others.
const BURST: Duration = Duration::from_millis(20);
/// After a probe that needed the help of others, the ways count as lossy for so long: probes and their answers are then
/// sent twice, the second time after a pause, since one datagram of 256 bytes in three that is lost would otherwise
/// bring more suspicions than such datagrams can deny.
const LOSSY: Duration = Duration::from_secs(10);
/// That pause.
const AGAIN: Duration = Duration::from_millis(40);
/// The most that wait for it.
const AGAIN_MOST: usize = 64;
/// Rounds of gossip by which a denial is told, beside what others pass on of it.
const DENIALS: u8 = 6;
/// Of those who hear that somebody is suspected, so many tell it that (Lifeguard's buddies): the sooner it can deny it.
const BUDDIES: f64 = 4.0;
/// The largest multiple that the own health may add to probe times (Lifeguard's S).
const HEALTH_MOST: u32 = 8;
/// Time that is missing since the last call, and from which on this process itself was stopped.
const STOPPED: Duration = Duration::from_millis(500);

/// What a balancer takes part with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: Name,
    /// The number of its start; see [`crate::start`].
    pub start: u64,
    /// The start on record before this one, if there is one: its late echo is no second process.
    pub before: Option<u64>,
    /// Its program.
    pub program: Program,
    /// What that speaks.
    pub wire: Wire,
    /// The others, as its file lists them.
    pub peers: Vec<Name>,
    /// Of all that is drawn.
    pub seed: u64,
}

impl Settings {
    /// This program, under a name.
    pub fn new(name: Name, start: u64, peers: Vec<Name>, seed: u64) -> Self {
        Self { name, start, before: None, program: Program::default(), wire: WIRE, peers, seed }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is here.
    Up(Name, u64),
    /// A member is believed dead, or has said that it goes.
    Down(Name, u64, State),
    /// This process was declared dead, and goes on under this start.
    Renewed(u64),
    /// There is a later start of this name: this process speaks no more.
    Superseded(u64),
    /// There is an earlier process of this name, of this start.
    Doubled(u64),
    /// This process was stopped for so long.
    Stopped(Duration),
    /// Somebody was seen who takes no part.
    Beside(Name, Apart),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram, without its MAC, for the address that the file has for this name.
    Send(Name, Vec<u8>),
    /// News.
    Happened(Event),
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It has not the form of one.
    Malformed,
    /// It is for somebody else.
    Misaddressed,
    /// It is under our own name.
    Own,
    /// It was seen before, or is of an earlier start.
    Stale(Stale),
    /// Its sender takes no part here.
    Apart(Apart),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not of the form of a datagram",
            Self::Misaddressed => "for somebody else",
            Self::Own => "under our own name",
            Self::Stale(Stale::Repeated) => "seen before",
            Self::Stale(Stale::EarlierStart) => "of an earlier start",
            Self::Apart(why) => why.words(),
        })
    }
}

impl From<Malformed> for Refused {
    fn from(Malformed: Malformed) -> Self {
        Self::Malformed
    }
}

/// Counts for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams refused.
    pub refused: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without MACs.
    pub sent_bytes: u64,
    /// Times that this process was declared dead while it lived.
    pub renewed: u64,
    /// Times that this process was found to have been stopped.
    pub stopped: u64,
}

/// One balancer's part.
pub struct Tier {
    settings: Settings,
    /// The names of the others.
    listed: BTreeSet<Name>,
    identity: Identity,
    foca: Foca<Identity, Scribe, SmallRng, Listens>,
    notes: Rc<RefCell<Notes>>,
    ear: Rc<RefCell<Ear>>,
    rng: SmallRng,
    timers: BTreeMap<(Duration, u64), Timer<Identity>>,
    /// Those whose time to deny runs, and what to do then.
    suspected: BTreeMap<Name, (Suspicion, Identity, Timer<Identity>)>,
    next_timer: u64,
    tick_at: Duration,
    burst_at: Option<Duration>,
    lossy_until: Duration,
    denials: u8,
    deny_at: Duration,
    again: VecDeque<(Duration, Name, Vec<u8>)>,
    health: u32,
    last: Duration,
    away: Away,
    roster: Roster,
    windows: Windows,
    numbers: BTreeMap<Name, u64>,
    here: usize,
    silent: bool,
    doubled: Option<u64>,
    claims: Vec<Claim>,
    unix_ms: u64,
    counts: Counts,
    outputs: Vec<Output>,
}

impl Tier {
    /// Begins to take part. Time only has to go forward.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let Settings { name, start, program, wire, .. } = settings.clone();
        let identity = Identity { name, start, program, wire };
        let notes = Rc::new(RefCell::new(Notes::default()));
        let ear = Rc::new(RefCell::new(Ear { now, ..Ear::default() }));
        let mut seeds = SmallRng::seed_from_u64(settings.seed);
        let (theirs, mut rng) = (SmallRng::from_rng(&mut seeds), SmallRng::from_rng(&mut seeds));
        let foca = Foca::with_custom_broadcast(
            identity.clone(),
            config(1, &identity.name),
            theirs,
            Scribe(Rc::clone(&notes)),
            Listens(Rc::clone(&ear)),
        );
        Self {
            away: Away::new(settings.peers.iter().cloned(), || rng.random::<f64>()),
            listed: settings.peers.iter().cloned().collect(),
            settings,
            identity,
            foca,
            notes,
            ear,
            rng,
            timers: BTreeMap::new(),
            suspected: BTreeMap::new(),
            next_timer: 0,
            tick_at: now,
            burst_at: None,
            lossy_until: Duration::ZERO,
            denials: 0,
            deny_at: Duration::ZERO,
            again: VecDeque::new(),
            health: 0,
            last: now,
            roster: Roster::default(),
            windows: Windows::default(),
            numbers: BTreeMap::new(),
            here: 0,
            silent: false,
            doubled: None,
            claims: Vec::new(),
            unix_ms: 0,
            counts: Counts::default(),
            outputs: Vec::new(),
        }
    }

    /// Who it is now.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether it speaks: not after a later start of its name was seen, nor after it has left.
    pub fn speaks(&self) -> bool {
        !self.silent
    }

    /// What has been counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many others are alive, as believed here.
    pub fn here(&self) -> usize {
        self.here
    }

    /// By how much its own health stretches its probes: 0 where all is well.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Whether this one is alive, takes part and is listed.
    pub fn is_here(&self, name: &Name) -> bool {
        self.roster.is_here(name)
    }

    /// The latest start that is known of a name.
    pub fn start_of(&self, name: &Name) -> Option<u64> {
        self.roster.start(name)
    }

    /// Everybody who has been seen, itself left out.
    pub fn seen(&self, now: Duration) -> Vec<Seen> {
        self.roster.seen(now, |identity| {
            let (suspicion, of, _) = self.suspected.get(&identity.name)?;
            (of == identity).then_some(suspicion.since)
        })
    }

    /// Those of the file that are not here.
    pub fn away(&self) -> impl Iterator<Item = &Name> {
        self.away.names()
    }

    /// What the words come to, and a number that changes with it.
    pub fn effects(&self) -> (u64, Vec<Effect>) {
        let ear = self.ear.borrow();
        (ear.words.version(), ear.words.effects())
    }

    /// Changes whenever what the words come to does.
    pub fn effects_version(&self) -> u64 {
        self.ear.borrow().words.version()
    }

    /// All words, for somebody who was away.
    pub fn words(&self, now: Duration) -> Vec<Word> {
        self.ear.borrow().words.all(now)
    }

    /// Words that came by another way than a datagram.
    pub fn absorb(&mut self, now: Duration, words: &[Word]) {
        self.wake(now);
        for word in words {
            self.pass_on(*word);
        }
    }

    /// What the own discovery says now: all that drains and all that has started lately.
    pub fn claim(&mut self, now: Duration, unix_ms: u64, claims: Vec<Claim>) {
        self.wake(now);
        (self.claims, self.unix_ms) = (claims, self.unix_ms.max(unix_ms));
        self.assert_claims(now);
    }

    fn assert_claims(&mut self, now: Duration) {
        if self.silent || self.claims.is_empty() {
            return;
        }
        let teller = crate::words::fnv(self.settings.name.as_str().as_bytes());
        let due = self.ear.borrow().words.due(now, teller, &self.claims);
        for claim in due {
            let word = self.ear.borrow_mut().words.tell(teller, self.unix_ms, claim);
            self.pass_on(word);
        }
    }

    fn pass_on(&mut self, word: Word) {
        // It can't fail: the listener takes any bytes.
        let _ = self.foca.add_broadcast(&word.bytes());
        self.stir();
    }

    fn stir(&mut self) {
        if std::mem::take(&mut self.ear.borrow_mut().stirred) && self.burst_at.is_none() {
            self.burst_at = Some(self.last);
        }
    }

    /// When [`Self::poll`] is to be called at the latest.
    pub fn next(&self) -> Duration {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let denied = self.suspected.values().map(|(s, ..)| s.until(self.here + 1, PERIOD)).min();
        let again = self.again.front().map(|(at, ..)| *at);
        [Some(self.tick_at), timer, denied, self.burst_at, again]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.tick_at)
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Time that this process has not had is no time that others have not answered in.
    fn wake(&mut self, now: Duration) {
        let now = now.max(self.last);
        let missed = now.saturating_sub(self.next().max(self.last));
        if missed > STOPPED {
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((at, n), timer)| ((at + missed, n), timer)).collect();
            self.suspected.values_mut().for_each(|(suspicion, ..)| suspicion.since += missed);
            self.health = (self.health + 2).min(HEALTH_MOST);
            self.counts.stopped += 1;
            self.outputs.push(Output::Happened(Event::Stopped(missed)));
        }
        self.last = now;
        self.ear.borrow_mut().now = now;
    }

    /// A datagram that is known to come from somebody with the secret.
    pub fn handle(&mut self, now: Duration, payload: &[u8]) -> Result<(), Refused> {
        self.wake(now);
        let taken = self.read(payload);
        match taken {
            Ok(()) => self.counts.taken += 1,
            Err(_) => self.counts.refused += 1,
        }
        taken
    }

    fn read(&mut self, payload: &[u8]) -> Result<(), Refused> {
        let (envelope, body) = Envelope::open(payload)?;
        if envelope.to != self.identity.name {
            return Err(Refused::Misaddressed);
        }
        let from = &envelope.from;
        if from.name == self.identity.name {
            self.namesake(from.start, true);
            return Err(Refused::Own);
        }
        if !self.listed.contains(&from.name) {
            return Err(self.beside(from, Apart::Unlisted));
        }
        self.windows.take(&from.name, from.start, envelope.number).map_err(Refused::Stale)?;
        if let Err(mismatch) = self.settings.wire.meets(from.wire) {
            return Err(self.beside(from, Apart::Speaks(mismatch)));
        }
        let mut news = Vec::new();
        let sifted = sift(body, |record| {
            let kept = record.identity.name == self.identity.name
                || (self.listed.contains(&record.identity.name)
                    && self.settings.wire.meets(record.identity.wire).is_ok());
            news.push(record.clone());
            kept
        })?;
        if sifted.to.name == self.identity.name && sifted.to.start > self.identity.start {
            self.namesake(sifted.to.start, true);
        }
        for record in news {
            self.told(&envelope.from, record);
        }
        if self.silent {
            return Ok(());
        }
        self.notes.borrow_mut().sender = Some(envelope.from);
        let before = self.notes.borrow().incarnation;
        let mut asked = Asked::default();
        // What it calls an error is a datagram that makes no sense: nothing was taken of it, or it was all taken.
        let taken = self.foca.handle_data(&sifted.body, &mut asked);
        self.carry_out(asked);
        if self.notes.borrow().incarnation > before {
            // It had to deny that it is dead: it may be that it does badly itself.
            self.health = (self.health + 1).min(HEALTH_MOST);
            (self.denials, self.deny_at) = (DENIALS, self.last + GOSSIP / 4);
        }
        self.stir();
        match taken {
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig) => {
                Err(Refused::Malformed)
            }
            _ => Ok(()),
        }
    }

    /// Something is told of a member.
    fn told(&mut self, by: &Identity, record: crate::wire::Record) {
        let crate::wire::Record { identity, incarnation, state, left } = record;
        if identity.name == self.identity.name {
            if identity.start != self.identity.start && state != Believed::Down {
                self.namesake(identity.start, false);
            }
            return;
        }
        if left {
            let notes = &mut *self.notes.borrow_mut();
            if self.listed.contains(&identity.name) {
                let start = notes.left.entry(identity.name.clone()).or_default();
                *start = (*start).max(identity.start);
            }
        }
        if let Some((suspicion, of, _)) = self.suspected.get_mut(&identity.name)
            && state == Believed::Suspect
            && *of == identity
            && suspicion.incarnation == incarnation
        {
            suspicion.confirm(&by.name);
        }
        if state == Believed::Down {
            self.roster.gone(self.last, &identity, left);
        } else {
            if !self.listed.contains(&identity.name) {
                self.beside(&identity, Apart::Unlisted);
            } else if let Err(mismatch) = self.settings.wire.meets(identity.wire) {
                self.beside(&identity, Apart::Speaks(mismatch));
            }
        }
    }

    fn beside(&mut self, identity: &Identity, apart: Apart) -> Refused {
        if self.roster.beside(self.last, identity, apart) {
            self.outputs.push(Output::Happened(Event::Beside(identity.name.clone(), apart)));
        }
        Refused::Apart(apart)
    }

    /// Somebody else goes by our name. The later start stays.
    fn namesake(&mut self, start: u64, itself: bool) {
        if start > self.identity.start {
            if !self.silent {
                self.silent = true;
                self.timers.clear();
                self.suspected.clear();
                self.outputs.push(Output::Happened(Event::Superseded(start)));
            }
        } else if start < self.settings.start
            && (itself || self.settings.before.is_some_and(|before| before != start))
            && self.doubled != Some(start)
        {
            self.doubled = Some(start);
            self.outputs.push(Output::Happened(Event::Doubled(start)));
        }
    }

    /// Does what is due.
    pub fn poll(&mut self, now: Duration) {
        self.wake(now);
        let now = self.last;
        if self.silent {
            self.roster.pass(now);
            if self.tick_at <= now {
                self.tick_at = now + TICK;
            }
            self.burst_at = None;
            self.again.clear();
            self.denials = 0;
            return;
        }
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            // With nothing to tell it sends nothing, and would go through the whole list for it.
            let idle = matches!(timer, Timer::PeriodicGossip(_))
                && self.foca.updates_backlog() == 0
                && self.foca.custom_broadcast_backlog() == 0;
            if idle {
                self.next_timer += 1;
                self.timers.insert((now + GOSSIP, self.next_timer), timer);
            } else {
                self.fire(timer);
            }
        }
        let members = self.here + 1;
        let over: Vec<Name> = self
            .suspected
            .iter()
            .filter(|(_, (suspicion, ..))| suspicion.until(members, PERIOD) <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            if let Some((_, _, timer)) = self.suspected.remove(&name) {
                self.fire(timer);
            }
        }
        if self.tick_at <= now {
            self.tick_at = now + TICK;
            self.roster.pass(now);
            self.ear.borrow_mut().words.expire(now);
            self.unix_ms += TICK.as_millis() as u64;
            self.assert_claims(now);
            self.denied();
            let rng = &mut self.rng;
            for name in self.away.due(now, || rng.random::<f64>()) {
                let mut asked = Asked::default();
                let start = self.roster.start(&name).unwrap_or(0);
                // It fails for want of room alone, and there is room.
                let _ = self.foca.announce(Identity::bare(name, start), &mut asked);
                self.carry_out(asked);
            }
        }
        if self.denials > 0 && self.deny_at <= now {
            (self.denials, self.deny_at) = (self.denials - 1, now + GOSSIP / 2);
            let mut asked = Asked::default();
            // It fails for want of room alone, and there is room.
            let _ = self.foca.gossip(&mut asked);
            self.carry_out(asked);
        }
        while self.again.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, to, body)) = self.again.pop_front() {
                self.send(to, &body);
            }
        }
        if self.burst_at.is_some_and(|at| at <= now) {
            self.burst_at = None;
            let mut asked = Asked::default();
            let _ = self.foca.broadcast(&mut asked);
            self.carry_out(asked);
            if self.foca.custom_broadcast_backlog() > 0 {
                self.burst_at = Some(now + BURST.max(GOSSIP / 4));
            }
        }
    }

    fn fire(&mut self, timer: Timer<Identity>) {
        let probes = matches!(timer, Timer::ProbeRandomMember(_));
        let helped = matches!(timer, Timer::SendIndirectProbe { .. });
        let mut asked = Asked::default();
        // An incomplete probe cycle is one that a stop of this process has torn; the next one begins all the same.
        let _ = self.foca.handle_timer(timer, &mut asked);
        if helped && !asked.sends.is_empty() {
            self.lossy_until = self.last + LOSSY;
        }
        if probes {
            self.health = match asked.probes_failed {
                0 => self.health.saturating_sub(1),
                failed => (self.health + failed).min(HEALTH_MOST),
            };
        }
        self.carry_out(asked);
    }

    fn carry_out(&mut self, asked: Asked) {
        let Asked { sends, timers, up, renamed, renewed, .. } = asked;
        if let Some(start) = renewed {
            self.identity.start = start;
            self.counts.renewed += 1;
            self.outputs.push(Output::Happened(Event::Renewed(start)));
        }
        for identity in renamed {
            self.suspected.remove(&identity.name);
            self.roster.renamed(self.last, &identity);
        }
        for (identity, up) in up {
            let (name, start) = (identity.name.clone(), identity.start);
            if up {
                self.away.here(&name);
                self.roster.is(self.last, &identity, State::Alive);
                self.outputs.push(Output::Happened(Event::Up(name, start)));
            } else {
                self.suspected.remove(&name);
                self.away.gone(self.last, &name);
                let left = self.notes.borrow().has_left(&identity);
                let state = if left { State::Left } else { State::Dead };
                self.roster.is(self.last, &identity, state);
                self.outputs.push(Output::Happened(Event::Down(name, start, state)));
            }
        }
        if self.here != self.foca.num_members() {
            self.here = self.foca.num_members();
            // It is only refused where a period changes, and none does.
            let _ = self.foca.set_config(config(self.here + 1, &self.identity.name));
        }
        for (timer, after) in timers {
            self.schedule(timer, after);
        }
        for (to, body) in sends {
            if crate::wire::is_of_a_probe(&body)
                && self.last < self.lossy_until
                && self.again.len() < AGAIN_MOST
            {
                self.again.push_back((self.last + AGAIN, to.name.clone(), body.clone()));
            }
            self.send(to.name, &body);
        }
    }

    /// Whoever has denied it is suspected no more.
    fn denied(&mut self) {
        if self.suspected.is_empty() {
            return;
        }
        let still: BTreeMap<&Name, u16> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == Believed::Suspect)
            .map(|member| (&member.id().name, member.incarnation()))
            .collect();
        self.suspected.retain(|name, (suspicion, ..)| still.get(name) == Some(&suspicion.incarnation));
    }

    fn schedule(&mut self, timer: Timer<Identity>, after: Duration) {
        let after = match &timer {
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                let (name, incarnation) = (member_id.name.clone(), *incarnation);
                let own = self.identity.name.clone();
                match self.suspected.get_mut(&name) {
                    Some((known, of, _)) if of == member_id && known.incarnation == incarnation => {
                        known.confirm(&own);
                    }
                    _ => {
                        let suspicion = Suspicion::new(self.last, incarnation, own);
                        if self.rng.random::<f64>() * self.here as f64 <= BUDDIES {
                            let own_incarnation = self.notes.borrow().incarnation;
                            let body = crate::wire::suspicion(member_id, incarnation, own_incarnation);
                            self.send(name.clone(), &body);
                        }
                        self.suspected.insert(name, (suspicion, member_id.clone(), timer));
                    }
                }
                return;
            }
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => after * (1 + self.health),
            _ => after,
        };
        self.next_timer += 1;
        self.timers.insert((self.last + after, self.next_timer), timer);
    }

    fn send(&mut self, to: Name, body: &[u8]) {
        let number = self.numbers.entry(to.clone()).or_default();
        *number += 1;
        let envelope = Envelope { from: self.identity.clone(), to: to.clone(), number: *number };
        let datagram = envelope.around(body);
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        self.outputs.push(Output::Send(to, datagram));
    }

    /// Says that it goes, and speaks no more.
    pub fn leave(&mut self, now: Duration) {
        self.wake(now);
        if self.silent {
            return;
        }
        self.notes.borrow_mut().left.insert(self.identity.name.clone(), self.identity.start);
        let mut asked = Asked::default();
        // What can't be said is found out by the others.
        let _ = self.foca.leave_cluster(&mut asked);
        for (to, body) in std::mem::take(&mut asked.sends) {
            self.send(to.name, &body);
        }
        self.silent = true;
        self.timers.clear();
        self.suspected.clear();
    }
}

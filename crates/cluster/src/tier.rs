//! One balancer's part in the tier: datagrams and time go in, datagrams and news come out.
//!
//! The gossip itself (SWIM with suspicion) is the `foca` crate's. Here stands what it leaves to its embedder: time, which
//! goes slower for a balancer that does badly itself (Lifeguard), starts and names, versions, replays, the calls to those
//! who are away, and the words. What comes is taken in `hearing`, what is due is done in `turning`.

use crate::gossip::{Asked, Ear, Listens, config};
use crate::identity::Identity;
use crate::interface::{Counts, Event, Output, PERIOD, Settings};
use crate::name::Name;
use crate::peers::Away;
use crate::roster::{Roster, Seen};
use crate::suspicion::Suspicion;
use crate::window::Windows;
use crate::wire::{Notes, Scribe};
use crate::words::{Claim, Effect, Word};
use foca::{Foca, Timer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The largest multiple that the own health may add to probe times (Lifeguard's S).
pub(crate) const HEALTH_MOST: u32 = 8;
/// Time that is missing since the last call, and from which on this process itself was stopped.
const STOPPED: Duration = Duration::from_millis(500);

/// One balancer's part.
pub struct Tier {
    pub(crate) settings: Settings,
    /// The names of the others.
    pub(crate) listed: BTreeSet<Name>,
    pub(crate) identity: Identity,
    pub(crate) foca: Foca<Identity, Scribe, SmallRng, Listens>,
    pub(crate) notes: Rc<RefCell<Notes>>,
    pub(crate) ear: Rc<RefCell<Ear>>,
    pub(crate) rng: SmallRng,
    pub(crate) timers: BTreeMap<(Duration, u64), Timer<Identity>>,
    /// Those whose time to deny runs, and what to do then.
    pub(crate) suspected: BTreeMap<Name, (Suspicion, Identity, Timer<Identity>)>,
    pub(crate) next_timer: u64,
    pub(crate) tick_at: Duration,
    pub(crate) burst_at: Option<Duration>,
    pub(crate) lossy_until: Duration,
    pub(crate) denials: u8,
    pub(crate) deny_at: Duration,
    pub(crate) again: VecDeque<(Duration, Name, Vec<u8>)>,
    pub(crate) health: u32,
    pub(crate) last: Duration,
    pub(crate) away: Away,
    pub(crate) roster: Roster,
    pub(crate) windows: Windows,
    pub(crate) numbers: BTreeMap<Name, u64>,
    pub(crate) here: usize,
    pub(crate) silent: bool,
    pub(crate) doubled: Option<u64>,
    pub(crate) claims: Vec<Claim>,
    pub(crate) unix_ms: u64,
    pub(crate) counts: Counts,
    pub(crate) outputs: Vec<Output>,
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

    pub(crate) fn assert_claims(&mut self, now: Duration) {
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

    pub(crate) fn pass_on(&mut self, word: Word) {
        // It can't fail: the listener takes any bytes.
        let _ = self.foca.add_broadcast(&word.bytes());
        self.stir();
    }

    pub(crate) fn stir(&mut self) {
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
    pub(crate) fn wake(&mut self, now: Duration) {
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

//! Balancers that know each other, emulated: the real `maplehook_cluster::Cluster`, many of them, on one thread, with the
//! network and the processes at the hands of a test. The same seed plays the same, to the last datagram.

pub mod faults;
pub mod small;
pub mod storm;

use maplehook_cluster::endpoint_gossip::{EndpointClaim, GossipedEndpoint};
use maplehook_cluster::{Cluster, ClusterSettings, MemberState, MembershipEvent, Name, Output, WireVersions};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

/// What the ways between balancers do.
#[derive(Clone, Debug, Default)]
pub struct Ways {
    /// The shortest and the longest time that a datagram takes.
    pub delay: (Duration, Duration),
    /// Share that is lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Directed pairs that nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
}

/// A balancer's start, by its world's clock.
struct Process {
    tier: Cluster,
    /// Its clock goes this much faster than the world's.
    drift: f64,
    began: Duration,
    stopped: Option<Duration>,
    /// What came while it was stopped.
    queued: Vec<Vec<u8>>,
}

/// What a world counts.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// Datagrams that were sent.
    pub datagrams: u64,
    /// Their bytes, with MACs.
    pub bytes: u64,
    /// The longest one.
    pub longest: usize,
    /// This machine's time in the balancers' own code.
    pub spent: Duration,
    /// Deaths that were announced of somebody who ran and could be reached by all.
    pub false_deaths: u64,
}

/// Something that a balancer said had happened.
#[derive(Clone, Debug)]
pub struct Said {
    /// When.
    pub at: Duration,
    /// Which balancer.
    pub by: usize,
    /// Its how manieth process.
    pub process: u32,
    /// What.
    pub event: MembershipEvent,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Datagram(usize, Vec<u8>),
    Poll(usize, u64),
}

/// So many balancers, and the ways between them.
pub struct World {
    /// The time.
    pub now: Duration,
    /// The ways.
    pub ways: Ways,
    /// What was counted.
    pub counted: Counted,
    /// What each said had happened.
    pub events: Vec<Said>,
    /// A flaw of the host, planted to be found.
    pub flaw: Option<small::Flaw>,
    /// How often each was started.
    pub starts: Vec<u32>,
    names: Vec<Name>,
    listed: usize,
    processes: Vec<Option<Process>>,
    records: Vec<Option<u64>>,
    wires: Vec<WireVersions>,
    queue: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    polls: Vec<u64>,
    next: u64,
    rng: ChaCha8Rng,
    drift: f64,
    /// Who was healthy and reachable without a break since then.
    sound: Duration,
}

/// What a socket's buffer holds for a process that is stopped.
const QUEUED_MOST: usize = 200;
/// After so long without a fault nobody may be declared dead who runs.
const UNDISTURBED: Duration = Duration::from_secs(30);
/// Unix time at which worlds begin.
const EPOCH_MS: u64 = 1_796_000_000_000;

impl World {
    /// A world of `listed` balancers, none of which runs yet.
    pub fn new(listed: usize, seed: u64) -> Self {
        let ms = Duration::from_millis;
        Self {
            now: Duration::ZERO,
            ways: Ways { delay: (ms(1), ms(5)), ..Ways::default() },
            counted: Counted::default(),
            events: Vec::new(),
            flaw: None,
            starts: vec![0; listed],
            names: (0..listed).filter_map(|n| Name::new(&format!("b{n}"))).collect(),
            listed,
            processes: (0..listed).map(|_| None).collect(),
            records: vec![None; listed],
            wires: vec![maplehook_cluster::WIRE_VERSIONS; listed],
            queue: BinaryHeap::new(),
            polls: vec![0; listed],
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            drift: 0.0,
            sound: Duration::ZERO,
        }
    }

    /// Clocks go wrong by at most this share, each by its own.
    pub fn drifting(mut self, share: f64) -> Self {
        self.drift = share;
        self
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.listed
    }

    /// Whether nobody is listed.
    pub fn is_empty(&self) -> bool {
        self.listed == 0
    }

    /// What a balancer is called.
    pub fn name(&self, n: usize) -> &Name {
        &self.names[n]
    }

    /// A program that speaks this, from its next start on.
    pub fn speaks(&mut self, n: usize, wire: WireVersions) {
        self.wires[n] = wire;
    }

    /// Starts one, with the record of its last start if `remembers`; who ran under its name is gone.
    pub fn start(&mut self, n: usize, remembers: bool) {
        let unix_ms = EPOCH_MS + self.now.as_millis() as u64;
        let recorded = self.records[n].filter(|_| remembers);
        let mut start = maplehook_cluster::generation::next(unix_ms, self.rng.random(), recorded);
        if let (Some(small::Flaw::StartFalls), Some(before)) = (self.flaw, recorded) {
            start = before - 1;
        }
        self.records[n] = Some(start);
        let peers = (0..self.listed).filter(|other| *other != n).map(|other| self.names[other].clone());
        let mut settings =
            ClusterSettings::new(self.names[n].clone(), start, peers.collect(), self.rng.random::<u64>());
        (settings.previous_generation, settings.wire) = (recorded, self.wires[n]);
        let drift = 1.0 + self.drift * (2.0 * self.rng.random::<f64>() - 1.0);
        let tier = Cluster::new(settings, Duration::from_secs(3600));
        let process = Process { tier, drift, began: self.now, stopped: None, queued: Vec::new() };
        self.processes[n] = Some(process);
        self.starts[n] += 1;
        self.disturbed();
        self.schedule(n);
    }

    /// Kills one.
    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
        self.disturbed();
    }

    /// One says that it goes, and is gone.
    pub fn leave(&mut self, n: usize) {
        self.disturbed();
        let at = self.clock(n);
        if let Some(process) = &mut self.processes[n] {
            process.tier.leave(at);
            self.flush(n);
            self.processes[n] = None;
        }
    }

    /// Stops one: it neither reads nor runs.
    pub fn stop(&mut self, n: usize) {
        self.disturbed();
        if let Some(process) = &mut self.processes[n] {
            process.stopped = Some(self.now);
        }
    }

    /// Lets one go on that was stopped. What came meanwhile is read first, as far as its socket held it.
    pub fn go_on(&mut self, n: usize) {
        self.disturbed();
        let Some(process) = &mut self.processes[n] else { return };
        let since = process.stopped.take();
        let queued = std::mem::take(&mut process.queued);
        if let (Some(small::Flaw::StopUnnoticed), Some(since)) = (self.flaw, since) {
            let now = std::mem::replace(&mut self.now, since);
            while self.now < now {
                self.now += Duration::from_millis(50);
                self.poll(n);
            }
            self.now = now;
        }
        for datagram in queued {
            self.deliver(n, &datagram);
        }
        self.poll(n);
    }

    /// Cuts the ways between two sets, both ways or one.
    pub fn cut(&mut self, from: &[usize], to: &[usize], both: bool) {
        self.disturbed();
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.ways.cut.insert((a, b));
            if both {
                self.ways.cut.insert((b, a));
            }
        }
    }

    /// All ways are open again, and lose nothing.
    pub fn heal(&mut self) {
        self.disturbed();
        self.ways.cut.clear();
        (self.ways.loss, self.ways.twice) = (0.0, 0.0);
        self.ways.delay = (Duration::from_millis(1), Duration::from_millis(5));
    }

    fn disturbed(&mut self) {
        self.sound = self.now;
    }

    /// Whether one runs, and is not stopped.
    pub fn runs(&self, n: usize) -> bool {
        self.processes[n].as_ref().is_some_and(|process| process.stopped.is_none())
    }

    /// Its part in the tier.
    pub fn tier(&self, n: usize) -> Option<&Cluster> {
        self.processes[n].as_ref().map(|process| &process.tier)
    }

    /// Its own clock.
    pub fn clock(&self, n: usize) -> Duration {
        self.processes[n].as_ref().map_or(self.now, |process| {
            Duration::from_secs(3600) + self.now.saturating_sub(process.began).mul_f64(process.drift)
        })
    }

    /// What its discovery says.
    pub fn claim(&mut self, n: usize, claims: Vec<EndpointClaim>) {
        let (at, unix_ms) = (self.clock(n), EPOCH_MS + self.now.as_millis() as u64);
        if let Some(process) = &mut self.processes[n] {
            process.tier.set_local_claims(at, unix_ms, claims);
        }
        self.flush(n);
        self.schedule(n);
    }

    /// What the words come to at one.
    pub fn effects(&self, n: usize) -> Vec<GossipedEndpoint> {
        self.tier(n).map(|tier| tier.gossiped_endpoints().1).unwrap_or_default()
    }

    /// Whether one holds another to be this.
    pub fn holds(&self, n: usize, other: usize) -> Option<MemberState> {
        let seen = self.tier(n)?.member_statuses(self.clock(n));
        seen.into_iter().find(|seen| seen.name == self.names[other]).map(|seen| seen.state)
    }

    /// Whether all who run see just those who run, each under its present start.
    pub fn agrees(&self) -> bool {
        let running: BTreeMap<&Name, u64> = (0..self.listed)
            .filter(|n| self.runs(*n))
            .filter_map(|n| Some((&self.names[n], self.tier(n)?.identity().generation)))
            .collect();
        // Their number is wrong sooner than their names, and is looked at first: a look at all names of a thousand takes long.
        let counts = |n: usize| self.tier(n).is_some_and(|tier| tier.alive_peers() + 1 == running.len());
        (0..self.listed).filter(|n| self.runs(*n)).all(counts)
            && (0..self.listed).filter(|n| self.runs(*n)).all(|n| {
                let Some(tier) = self.tier(n) else { return false };
                let seen = tier.member_statuses(self.clock(n));
                let alive = seen.iter().filter(|seen| seen.is_alive_participant());
                let mut count = 0;
                let right = alive.clone().all(|seen| running.get(&seen.name) == Some(&seen.generation));
                alive.for_each(|_| count += 1);
                right && count == running.len() - 1
            })
    }

    fn schedule(&mut self, n: usize) {
        let Some(process) = &self.processes[n] else { return };
        let wanted = process.tier.next_deadline();
        let local = self.clock(n);
        let wait = wanted.saturating_sub(local).div_f64(process.drift).max(Duration::from_micros(100));
        self.polls[n] += 1;
        self.next += 1;
        self.queue.push(Reverse((self.now + wait, self.next, Due::Poll(n, self.polls[n]))));
    }

    fn flush(&mut self, n: usize) {
        let Some(process) = &mut self.processes[n] else { return };
        for output in process.tier.take_outputs() {
            match output {
                Output::Send(to, payload) => self.send(n, &to, payload),
                Output::Event(event) => self.happened(n, event),
            }
        }
    }

    fn happened(&mut self, n: usize, event: MembershipEvent) {
        let settled = self.now.saturating_sub(self.sound) > UNDISTURBED && self.ways.cut.is_empty();
        if let MembershipEvent::MemberDown(name, start, MemberState::Dead) = &event {
            let runs = (0..self.listed).any(|other| {
                self.names[other] == *name
                    && self.runs(other)
                    && self.tier(other).is_some_and(|tier| tier.identity().generation == *start)
            });
            self.counted.false_deaths += u64::from(runs && settled);
        }
        self.events.push(Said { at: self.now, by: n, process: self.starts[n], event });
    }

    fn send(&mut self, from: usize, to: &Name, payload: Vec<u8>) {
        if self.flaw == Some(small::Flaw::DeadUntold) && maplehook_cluster::reports_dead_member(&payload) {
            return;
        }
        let length = payload.len() + maplehook_cluster::MAC_BYTES;
        self.counted.datagrams += 1;
        self.counted.bytes += length as u64;
        self.counted.longest = self.counted.longest.max(length);
        let Some(to) = to.as_str()[1..].parse::<usize>().ok().filter(|to| *to < self.listed) else { return };
        if self.ways.cut.contains(&(from, to)) || self.rng.random::<f64>() < self.ways.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.ways.twice { 2 } else { 1 };
        for _ in 0..copies {
            let (least, most) = self.ways.delay;
            let wait = least + (most - least).mul_f64(self.rng.random::<f64>());
            self.next += 1;
            self.queue.push(Reverse((self.now + wait, self.next, Due::Datagram(to, payload.clone()))));
        }
    }

    fn deliver(&mut self, n: usize, datagram: &[u8]) {
        let at = self.clock(n);
        if let Some(process) = &mut self.processes[n] {
            let begun = Instant::now();
            // What is refused is counted there.
            let _ = process.tier.handle_datagram(at, datagram);
            self.counted.spent += begun.elapsed();
            self.flush(n);
            self.schedule(n);
        }
    }

    fn poll(&mut self, n: usize) {
        let at = self.clock(n);
        if let Some(process) = &mut self.processes[n] {
            let begun = Instant::now();
            process.tier.poll(at);
            self.counted.spent += begun.elapsed();
            self.flush(n);
            self.schedule(n);
        }
    }

    /// Plays until then.
    pub fn play(&mut self, until: Duration) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, due))) = self.queue.pop() else { break };
            // A planted flaw of a host may have asked for the past.
            self.now = self.now.max(at);
            match due {
                Due::Datagram(n, datagram) => match &mut self.processes[n] {
                    Some(process) if process.stopped.is_some() => {
                        process.queued.push(datagram);
                        process.queued.truncate(QUEUED_MOST);
                    }
                    Some(_) => self.deliver(n, &datagram),
                    None => {}
                },
                Due::Poll(n, number) if number == self.polls[n] && self.runs(n) => self.poll(n),
                Due::Poll(..) => {}
            }
        }
        self.now = until;
    }

    /// Plays until something holds, looked at every 20 ms, or every second of many; the time that it took, or `None` after `most`.
    pub fn until(&mut self, most: Duration, mut holds: impl FnMut(&Self) -> bool) -> Option<Duration> {
        let begun = self.now;
        // A look at all pairs of many takes longer than what is played between two.
        let step = Duration::from_millis(if self.listed > 200 { 1000 } else { 20 });
        while self.now - begun <= most {
            if holds(self) {
                return Some(self.now - begun);
            }
            self.play(self.now + step);
        }
        None
    }
}

/// A world in which all run and know one another.
pub fn settled(members: usize, seed: u64) -> World {
    let mut world = World::new(members, seed);
    (0..members).for_each(|n| world.start(n, true));
    world.until(Duration::from_secs(120), World::agrees);
    world
}

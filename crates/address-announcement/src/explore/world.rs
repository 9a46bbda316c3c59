//! Two sites, one address that one of them announces, a leader that may die, and routers: in steps of a common clock.

use crate::{Address, Announce, Answer, Decider, LocalBalancer, Order, SiteHealth, Standing, State};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(500);
/// By its holder's clock; the leader reckons with `LONGEST`.
pub const LEASE: Duration = Duration::from_millis(4000);
pub const LONGEST: Duration = Duration::from_millis(4081);
/// Steps of silence after which a site is held for cut off.
const SILENCE: u32 = 1;
pub const NAMES: [&str; 2] = ["a", "b"];

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    /// The next one holds it at once.
    NoWait,
    /// A lease counts from when its answer comes.
    LeaseFromAnswer,
    /// An answer is good however little is left of the lease.
    PastLease,
    /// A new leader takes it that nobody holds a lease.
    LeaderForgets,
    /// A router counts from when its answer comes.
    HoldsFromAnswer,
    /// A state is played whatever it was made of.
    PlaysAll,
    /// An answer is made when the question comes to a process that is stopped, and said when it wakes.
    CachedAnswer,
}

/// What may happen in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Act {
    /// A site's balancer is stopped, or woken.
    Stop(usize),
    /// It is cut from the leader, or no more.
    Cut(usize),
    /// The leader's words to it are held back from now on, or come: the first of them.
    HoldLease(usize),
    /// A router's poll of it is held back on its way back, or comes.
    HoldPoll(usize),
    /// The next that the leader proposes is held back, or comes to be played.
    HoldCommit,
    /// The leader dies; the next one leads from the next step on.
    Kill,
    /// An operator moves the address to the other site.
    Move,
    /// An operator withdraws the other site: a change that leaves the holder.
    Withdraw,
}

#[derive(Clone, Debug)]
struct Leader {
    decider: Decider,
    until: [Duration; 2],
    acked: [u64; 2],
    heard: [Option<u32>; 2],
}

#[derive(Clone, Debug, Default)]
struct Site {
    own: LocalBalancer,
    stopped: bool,
    cut: bool,
    hold_lease: bool,
    held_lease: Option<(Duration, State)>,
    /// A poll that came while it was stopped: when it was sent, and what a broken one would answer.
    queued: Option<(Duration, Answer)>,
    hold_poll: bool,
    held_poll: Option<(Duration, Answer)>,
    /// Until when some router sends clients there.
    held_until: Duration,
}

#[derive(Clone, Debug)]
pub struct World {
    broken: Broken,
    pub t: u32,
    leader: Option<Leader>,
    hold_commit: bool,
    late: Option<State>,
    log: State,
    sites: [Site; 2],
}

pub fn address() -> Address {
    Address {
        name: "front".into(),
        address: "203.0.113.10:443".into(),
        announce: Announce::One,
        keep_at_least: 1,
        withdraw_after: STEP,
        // So that penalties are over before they could tell worlds apart.
        return_after: Duration::from_millis(1),
        sites: vec![Region(0), Region(1)],
    }
}

impl World {
    /// One in which the first site has come to hold it.
    pub fn new(broken: Broken) -> Self {
        let mut sites = [Site::default(), Site::default()];
        for (site, name) in sites.iter_mut().zip(NAMES) {
            site.own =
                LocalBalancer { site: name.into(), ready: true, served: 1.0, ..LocalBalancer::default() };
        }
        let mut world =
            Self { broken, t: 0, leader: None, hold_commit: false, late: None, log: State::default(), sites };
        for _ in 0..20 {
            world.step(None).expect("nothing happens");
        }
        assert_eq!(world.holder(), Some("a"));
        world
    }

    fn now(&self) -> Duration {
        STEP * self.t
    }

    pub fn holder(&self) -> Option<&str> {
        self.log.addresses.get("front").and_then(|standing: &Standing| standing.holder.as_deref())
    }

    /// What of it can matter from now on: numbers and times as they differ from the present ones.
    pub fn essence(&self) -> Vec<u64> {
        let now = self.now();
        let left = |until: Duration| until.saturating_sub(now).as_millis() as u64;
        let age = |at: Duration| now.saturating_sub(at).min(STEP * 8).as_millis() as u64;
        let name = |name: &Option<String>| name.as_deref().map_or(0, |name| 1 + u64::from(name == "b"));
        let state = |state: Option<&State>| {
            let Some(state) = state else { return u64::MAX };
            let lag = self.log.number.wrapping_sub(state.number) & 0xff;
            let standing = state.addresses.get("front");
            let of = |s: &Standing| (name(&s.holder) * 3 + name(&s.last)) * 3 + name(&s.next);
            let more = |s: &Standing| u64::from(s.pinned.is_some()) * 2 + u64::from(s.all_stay.is_some());
            lag * 1000 + standing.map_or(999, |s| of(s) * 4 + more(s))
        };
        let mut essence =
            vec![u64::from(self.hold_commit), state(self.late.as_ref()), state(Some(&self.log))];
        for record in self.log.addresses.values().flat_map(|standing| standing.sites.values()) {
            let flags = [record.ill, record.penalty <= 0.0].map(u64::from);
            essence.extend([flags[0], flags[1], record.ill_for_ms.min(600)]);
        }
        for site in &self.sites {
            let lease = site.held_lease.as_ref();
            let answer = |held: &Option<(Duration, Answer)>| {
                let Some((at, answer)) = held else { return [0, 0] };
                let Answer::Announces { good_for, .. } = answer else { return [1, 0] };
                [2, left(*at + *good_for)]
            };
            let flags = [site.stopped, site.cut, site.hold_lease, site.hold_poll];
            essence.extend(flags.map(u64::from));
            essence.extend([state(site.own.state.as_ref()), state(lease.map(|(_, state)| state))]);
            essence.push(lease.map_or(0, |(at, _)| age(*at)));
            essence.extend([left(site.own.lease_until.unwrap_or_default()), left(site.held_until)]);
            essence.extend(answer(&site.queued).into_iter().chain(answer(&site.held_poll)));
        }
        if let Some(leader) = &self.leader {
            for n in 0..2 {
                let behind = u64::from(leader.acked[n] < self.log.number);
                let heard = leader.heard[n].map_or(9, |at| u64::from((self.t - at).min(SILENCE + 1)));
                essence.extend([behind, heard, left(leader.until[n])]);
            }
            essence.push(u64::from(leader.decider.state().number == self.log.number));
            essence.extend(leader.decider.essence());
        }
        essence
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        for n in 0..2 {
            let site = &self.sites[n];
            let toggles = [
                (site.stopped, Act::Stop(n)),
                (site.cut, Act::Cut(n)),
                (site.hold_lease, Act::HoldLease(n)),
                (site.hold_poll, Act::HoldPoll(n)),
            ];
            for (_, act) in toggles.into_iter().filter(|(on, _)| *on) {
                self.act(act);
            }
        }
        if self.hold_commit {
            self.act(Act::HoldCommit);
        }
    }

    /// Whether clients find a site.
    pub fn is_announced(&self) -> bool {
        let now = self.now() - STEP;
        (0..2).any(|n| self.sites[n].held_until > now && !self.sites[n].stopped)
    }

    /// A step; an error tells of two that announce at once.
    pub fn step(&mut self, act: Option<Act>) -> Result<(), String> {
        if let Some(act) = act {
            self.act(act);
        }
        self.lead();
        // Whoever is woken may first be asked, or first hear of the leader.
        self.polls();
        let first = self.check();
        self.leases();
        self.polls();
        let second = self.check();
        self.t += 1;
        first.and(second)
    }

    fn act(&mut self, act: Act) {
        let now = self.now();
        match act {
            Act::Stop(n) => self.sites[n].stopped = !self.sites[n].stopped,
            Act::Cut(n) => self.sites[n].cut = !self.sites[n].cut,
            Act::HoldLease(n) => {
                let site = &mut self.sites[n];
                site.hold_lease = !site.hold_lease;
            }
            Act::HoldPoll(n) => {
                let site = &mut self.sites[n];
                site.hold_poll = !site.hold_poll;
                if site.hold_poll && !site.stopped {
                    site.held_poll = Some((now, site.own.answer("front", now)));
                } else if let Some((polled, answer)) = site.held_poll.take() {
                    site.takes(polled, &answer, now, self.broken);
                }
            }
            Act::HoldCommit => {
                self.hold_commit = !self.hold_commit;
                if let (false, Some(late)) = (self.hold_commit, self.late.take()) {
                    self.play(late);
                }
            }
            Act::Kill => self.leader = None,
            Act::Move | Act::Withdraw => {
                let site = if self.holder() == Some("a") { "b" } else { "a" }.to_owned();
                let (name, by, anyway) = ("front".to_owned(), "ops".to_owned(), false);
                let order = match act {
                    Act::Move => Order::Move { name, site, by, anyway },
                    _ => Order::Withdraw { name, site, by, anyway },
                };
                if let Some(Ok(state)) = self.leader.as_ref().map(|leader| leader.decider.order(&order)) {
                    self.propose(state);
                }
            }
        }
    }

    fn elect(&mut self) {
        let names = NAMES.map(str::to_owned).to_vec();
        let before = (self.log.number > 0).then_some(&self.log);
        let decider = Decider::new(vec![address()], names, before, self.now());
        let until = if self.broken == Broken::LeaderForgets { Duration::ZERO } else { self.now() + LONGEST };
        self.leader = Some(Leader { decider, until: [until; 2], acked: [0; 2], heard: [None; 2] });
    }

    fn propose(&mut self, state: State) {
        if self.hold_commit && self.late.is_none() {
            self.late = Some(state);
        } else {
            self.play(state);
        }
    }

    fn play(&mut self, state: State) {
        if state.follows(Some(&self.log)) || self.broken == Broken::PlaysAll {
            self.log = state;
            if let Some(leader) = &mut self.leader {
                leader.decider.accepted(&self.log);
            }
        }
    }

    fn lead(&mut self) {
        let now = self.now();
        if self.leader.is_none() {
            // The next one leads from the step after.
            self.elect();
            return;
        }
        self.requests();
        let Some(leader) = &mut self.leader else { return };
        let mut behind = BTreeMap::new();
        for n in 0..2 {
            if leader.acked[n] < self.log.number && leader.until[n] > now {
                behind.insert(Region(n as u16), leader.until[n] - now);
            }
        }
        let health = [0, 1].map(|n| {
            let cut_off = leader.heard[n].is_none_or(|at| self.t - at > SILENCE);
            let ready = usize::from(!cut_off);
            SiteHealth { region: Region(n as u16), served: 1.0, near: 1.0, ready, cut_off }
        });
        if let Some(mut state) = leader.decider.tick(now, &health, &behind) {
            if self.broken == Broken::NoWait {
                for standing in state.addresses.values_mut() {
                    if standing.holder.is_none() && standing.last.is_some() {
                        standing.holder = standing.next.take();
                        standing.announcing = standing.holder.iter().map(|site| (site.clone(), 1)).collect();
                    }
                }
            }
            self.propose(state);
        }
    }

    /// Balancers ask for a lease, each with what it knows; the leader answers with what stands.
    fn requests(&mut self) {
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        for (n, site) in self.sites.iter_mut().enumerate() {
            if site.stopped || site.cut {
                continue;
            }
            let number = site.own.state.as_ref().map_or(0, |state| state.number);
            leader.heard[n] = Some(self.t);
            leader.acked[n] = leader.acked[n].max(number);
            leader.until[n] = leader.until[n].max(now + LONGEST);
            if !site.hold_lease || site.held_lease.is_none() {
                site.held_lease = Some((now, self.log.clone()));
            }
        }
    }

    fn leases(&mut self) {
        let now = self.now();
        for site in self.sites.iter_mut().filter(|site| !site.stopped && !site.hold_lease) {
            let Some((asked, state)) = site.held_lease.take() else { continue };
            if site.own.state.as_ref().is_some_and(|known| known.number > state.number) {
                continue;
            }
            let from = if self.broken == Broken::LeaseFromAnswer { now } else { asked };
            let until = from + LEASE;
            site.own.lease_until = Some(site.own.lease_until.map_or(until, |before| before.max(until)));
            site.own.state = Some(state);
        }
    }

    fn polls(&mut self) {
        let (now, broken) = (self.now(), self.broken);
        for site in &mut self.sites {
            let mut own = site.own.clone();
            if broken == Broken::PastLease {
                own.lease_until = own.lease_until.map(|until| until.max(now + LEASE));
            }
            let answer = own.answer("front", now);
            if site.stopped {
                site.queued.get_or_insert((now, answer));
                continue;
            }
            if let Some((polled, cached)) = site.queued.take() {
                let said = if broken == Broken::CachedAnswer { &cached } else { &answer };
                // Somebody else has asked just now, and is answered the same.
                let polled = if broken == Broken::CachedAnswer { now } else { polled };
                site.takes(polled, said, now, broken);
            }
            site.takes(now, &answer, now, broken);
        }
    }

    fn check(&self) -> Result<(), String> {
        let now = self.now();
        let announces = |site: &Site| {
            let asked = !site.stopped && matches!(site.own.answer("front", now), Answer::Announces { .. });
            asked || site.held_until > now
        };
        if self.sites.iter().all(announces) {
            return Err(format!("at {now:?} both announce: {:#?}", self.log));
        }
        Ok(())
    }
}

impl Site {
    /// A router takes an answer.
    fn takes(&mut self, polled: Duration, answer: &Answer, now: Duration, broken: Broken) {
        if let Answer::Announces { good_for, .. } = answer {
            let from = if broken == Broken::HoldsFromAnswer { now } else { polled };
            self.held_until = self.held_until.max(from + *good_for);
        }
    }
}

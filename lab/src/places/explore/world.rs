//! The world that is explored, in steps of a sixth of a lease.

use maplehook_addresses::{Address, Announce, Answer, Decider, Order, Own, SiteHealth};
use maplehook_agreement::common::{Document as Log, Given, Holding};
use maplehook_agreement::grants::Times;
use maplehook_failover::{Acting, Document, Row, Share, WHOLE};
use maplehook_locality::{Region, Rules, Topology, Zone};
use maplehook_places::talk::Agreed;
use maplehook_tier::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Members, and the site of each.
const SITES: [usize; 3] = [0, 1, 1];
const NAMES: [&str; 2] = ["a", "b"];
/// A step.
const STEP: Duration = Duration::from_millis(800);
/// Steps for which a stop or a cut lasts: longer than a lease.
const LONG: u32 = 9;
/// Steps for which an answer, or a body on its way to the log, is late.
const LATE: u32 = 3;
/// Steps after which whoever leads gives up a body on its way.
const GIVES_UP: u32 = 2;
/// Steps of silence after which a member is held for cut off, and another one leads.
const SILENCE: u32 = 2;
/// Steps between two turns of the plan, while acts may come.
const TURNS: u32 = 3;
/// Steps in which everything has come to rest.
const RESTS: u32 = 28;

/// A planted flaw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Nobody who may still act on an earlier body is waited for.
    SkipsBehind,
    /// Who is waited for is reckoned by the body before the newest.
    BehindIsOld,
    /// A lease counts from when its answer comes.
    LeaseFromAnswer,
    /// A new leader takes it that nobody holds a lease.
    LeaderForgets,
    /// A member announces whatever is left of its lease.
    AnnouncesPastLease,
    /// A member acts on what it was told last, lease or none.
    ActsPastLease,
    /// A body takes the place of whatever stands there.
    PutWithoutExpect,
    /// A leader grants without a majority's word.
    NotConfirmed,
    /// A router counts from when an answer comes.
    HoldsFromAnswer,
}

impl Flaw {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::SkipsBehind,
        Self::BehindIsOld,
        Self::LeaseFromAnswer,
        Self::LeaderForgets,
        Self::AnnouncesPastLease,
        Self::ActsPastLease,
        Self::PutWithoutExpect,
        Self::NotConfirmed,
        Self::HoldsFromAnswer,
    ];
}

/// What may happen at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// A member stands still for a while, and goes on as if nothing had been.
    Stop(usize),
    /// It is cut off from all others for a while; answers on their way still come, and routers reach it.
    Cut(usize),
    /// It is started anew, and knows nothing.
    Crash(usize),
    /// Answers to its requests for leases are late.
    Late(usize),
    /// What it answers to routers is late.
    LatePoll(usize),
    /// A body on its way to the log is late.
    LateBody,
    /// Another one leads; the one before does not know.
    Elect,
    /// An operator moves the address to the other site.
    Move,
}

impl Act {
    /// All of them.
    pub fn all() -> Vec<Self> {
        let each = |act: fn(usize) -> Self| (0..SITES.len()).map(act);
        let mut all: Vec<Self> = each(Self::Stop).chain(each(Self::Cut)).chain(each(Self::Crash)).collect();
        all.extend([Self::Late(0), Self::Late(1), Self::LatePoll(0), Self::LatePoll(1)]);
        all.extend([Self::LateBody, Self::Elect, Self::Move]);
        all
    }
}

#[derive(Clone, Debug)]
struct Leader {
    at: usize,
    decider: Decider,
    given: Given,
    /// What it takes for what stands in the log.
    number: u64,
    stands: Arc<Agreed>,
    /// A body of its own on its way, since this step.
    proposed: Option<(u32, Arc<Agreed>)>,
    /// By member: the last step at which it was heard.
    heard: [Option<u32>; 3],
    turns: bool,
}

#[derive(Clone, Debug)]
struct Member {
    holding: Holding,
    request: u64,
    agreed: Option<(u64, Arc<Agreed>)>,
    /// Until which step.
    stopped: u32,
    cut: u32,
    late: u32,
    late_poll: u32,
    /// Answers on their way: due at, request, number, body.
    answers: Vec<(u32, u64, u64, Arc<[u8]>)>,
    /// Answers to a router on their way: due at, good until.
    polls: Vec<(u32, Option<Duration>)>,
}

/// Everything.
#[derive(Clone, Debug)]
pub struct World {
    flaw: Option<Flaw>,
    t: u32,
    turning: bool,
    log: Log,
    stands: Arc<Agreed>,
    /// When it came to stand there.
    since: Duration,
    /// Bodies on their way: due at, by whom, the number that they rest on, the body.
    on_the_way: Vec<(u32, usize, u64, Arc<Agreed>)>,
    late_body: u32,
    leader: Option<Leader>,
    /// One that does not know yet that it is none.
    stale: Option<Leader>,
    silent: u32,
    members: Vec<Member>,
    /// By site: until when a router sends clients there.
    held: [Duration; 2],
}

fn times() -> Times {
    let none = Times { contradiction: Duration::ZERO, lease: Duration::ZERO, renew: Duration::ZERO };
    Times::new(Duration::from_secs(6)).unwrap_or(none)
}

fn names() -> Vec<Name> {
    ["m0", "m1", "m2"].iter().filter_map(|name| Name::new(name)).collect()
}

fn address() -> Address {
    Address {
        name: "one".into(),
        address: "203.0.113.10:443".into(),
        announce: Announce::One,
        keep_at_least: 1,
        withdraw_after: STEP,
        return_after: STEP,
        sites: vec![Region(0), Region(1)],
    }
}

fn topology() -> Topology {
    Topology::new([("a", vec!["a"]), ("b", vec!["b"])]).unwrap_or_default()
}

/// A's clients go to B, or B's to A.
fn turned(before: &Document) -> Document {
    let mut next = before.clone();
    (next.zones, next.rules) = (NAMES.map(String::from).to_vec(), vec!["default".into()]);
    next.plan.epoch += 1;
    let from = Zone((next.plan.epoch % 2) as u16);
    let to = vec![Share { zone: Zone(1 - from.0), part: WHOLE }];
    next.plan.rows = vec![Row { rule: 0, from, to }];
    next
}

/// FNV-1a over what is written to it.
struct Digest(u64);

impl Write for Digest {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        Ok(())
    }
}

impl World {
    /// One in which the first site holds the address.
    pub fn new(flaw: Option<Flaw>) -> Result<Self, String> {
        let member = || Member {
            holding: Holding::new(times()),
            request: 0,
            agreed: None,
            stopped: 0,
            cut: 0,
            late: 0,
            late_poll: 0,
            answers: Vec::new(),
            polls: Vec::new(),
        };
        let mut world = Self {
            flaw,
            t: 0,
            turning: true,
            log: Log::default(),
            stands: Arc::default(),
            since: Duration::ZERO,
            on_the_way: Vec::new(),
            late_body: 0,
            leader: None,
            stale: None,
            silent: SILENCE,
            members: SITES.iter().map(|_| member()).collect(),
            held: [Duration::ZERO; 2],
        };
        for _ in 0..60 {
            world.step(None)?;
            if world.holder() == Some("a") && world.held[0] > world.now() {
                return Ok(world);
            }
        }
        Err(format!("the first site does not come to announce it: {:?}", world.stands.addresses))
    }

    /// Steps that were played.
    pub fn steps(&self) -> u32 {
        self.t
    }

    fn now(&self) -> Duration {
        STEP * self.t
    }

    fn holder(&self) -> Option<&str> {
        self.stands.addresses.addresses.get("one").and_then(|standing| standing.holder.as_deref())
    }

    /// A digest of all of it.
    pub fn digest(&self) -> u64 {
        let mut digest = Digest(0xcbf2_9ce4_8422_2325);
        let _ = write!(digest, "{self:?}");
        digest.0
    }

    /// A member's clock: the first one's goes slow, so that its lease lasts longer; the leader's, wherever it is, goes fast.
    fn clock(&self, n: usize) -> Duration {
        self.now().mul_f64([0.99, 1.0, 1.01][n])
    }

    fn runs(&self, n: usize) -> bool {
        self.t >= self.members[n].stopped
    }

    fn hears(&self, a: usize, b: usize) -> bool {
        let joined = a == b || self.t >= self.members[a].cut && self.t >= self.members[b].cut;
        self.runs(a) && self.runs(b) && joined
    }

    fn majority(&self, n: usize) -> bool {
        2 * (0..SITES.len()).filter(|m| self.hears(n, *m)).count() > SITES.len()
    }

    /// A step; an error tells what broke.
    pub fn step(&mut self, act: Option<Act>) -> Result<(), String> {
        if let Some(act) = act {
            self.act(act);
        }
        self.elect();
        self.play()?;
        // Whoever is woken may be asked by a router before it hears of anything.
        self.polls();
        self.check()?;
        self.decide();
        self.leases();
        self.polls();
        self.check()?;
        self.t += 1;
        // Time alone may bring what must not be.
        self.check()
    }

    fn act(&mut self, act: Act) {
        let t = self.t;
        match act {
            Act::Stop(n) => self.members[n].stopped = t + LONG,
            Act::Cut(n) => self.members[n].cut = t + LONG,
            Act::Late(n) => self.members[n].late = t + LATE,
            Act::LatePoll(n) => self.members[n].late_poll = t + LATE,
            Act::LateBody => self.late_body = t + LATE,
            Act::Elect => self.lead_anew(),
            Act::Crash(n) => {
                let member = &mut self.members[n];
                (member.holding, member.agreed) = (Holding::new(times()), None);
                member.answers.clear();
                member.polls.clear();
                // What it asked for before says nothing to it now.
                member.request += 100;
                self.stale.take_if(|leader| leader.at == n);
                if self.leader.take_if(|leader| leader.at == n).is_some() {
                    self.silent = 0;
                }
            }
            Act::Move => {
                let Some(leader) = self.leader.as_mut().filter(|leader| leader.proposed.is_none()) else {
                    return;
                };
                let standing = leader.stands.addresses.addresses.get("one");
                let at = standing.and_then(|s| s.holder.as_ref().or(s.next.as_ref()));
                let site = if at.is_some_and(|at| at == "a") { "b" } else { "a" };
                let (name, site, by) = ("one".into(), site.into(), "ann".into());
                if let Ok(addresses) = leader.decider.order(&Order::Move { name, site, by, anyway: true }) {
                    let agreed = Agreed { addresses, ..(*leader.stands).clone() };
                    self.put(agreed);
                }
            }
        }
    }

    /// The present leader puts a body on its way.
    fn put(&mut self, agreed: Agreed) {
        let (t, due) = (self.t, self.late_body.max(self.t + 1));
        let Some(leader) = &mut self.leader else { return };
        let agreed = Arc::new(agreed);
        leader.proposed = Some((t, Arc::clone(&agreed)));
        self.on_the_way.push((due, leader.at, leader.number, agreed));
    }

    fn elect(&mut self) {
        let sound = self.leader.as_ref().is_some_and(|leader| self.majority(leader.at));
        if sound {
            self.silent = 0;
            return;
        }
        self.silent += 1;
        if self.silent > SILENCE {
            self.lead_anew();
        }
    }

    fn lead_anew(&mut self) {
        let before = self.leader.as_ref().map(|leader| leader.at);
        let next = [2, 1, 0].into_iter().find(|n| before != Some(*n) && self.majority(*n));
        let Some(at) = next else { return };
        self.silent = 0;
        let old = self.leader.take();
        if old.is_some() {
            self.stale = old;
        }
        self.leader = Some(self.leader_at(at));
    }

    fn leader_at(&self, at: usize) -> Leader {
        let now = self.clock(2);
        let sites = NAMES.map(String::from).to_vec();
        // What it has not heard of is in the log before it leads.
        let elected = if self.flaw == Some(Flaw::LeaderForgets) { Duration::ZERO } else { now };
        Leader {
            at,
            decider: Decider::new(vec![address()], sites, Some(&self.stands.addresses), now),
            given: Given::new(times(), names().into_iter().collect(), elected),
            number: self.log.number,
            stands: Arc::clone(&self.stands),
            proposed: None,
            heard: [None; 3],
            turns: false,
        }
    }

    /// Bodies that are due come to stand in the log, or do not.
    fn play(&mut self) -> Result<(), String> {
        let t = self.t;
        let (due, rest): (Vec<_>, Vec<_>) = self.on_the_way.drain(..).partition(|(due, ..)| *due <= t);
        self.on_the_way = rest;
        for (_, at, expect, agreed) in due {
            let expect = if self.flaw == Some(Flaw::PutWithoutExpect) { self.log.number } else { expect };
            let stands = self.log.play(expect, &agreed.encode()).is_ok();
            if stands {
                self.sound(&agreed)?;
                (self.stands, self.since) = (Arc::clone(&agreed), self.now());
            }
            let number = self.log.number;
            let Some(leader) = self.leader.as_mut().filter(|leader| leader.at == at) else { continue };
            let own = leader.proposed.take_if(|(_, proposed)| *proposed == agreed);
            if own.is_some() && stands {
                leader.decider.accepted(&agreed.addresses);
                (leader.number, leader.stands) = (number, agreed);
            } else if own.is_some() {
                let at = leader.at;
                self.again(at);
            }
        }
        Ok(())
    }

    /// It reads the log again, as one that does not know how its body ended.
    fn again(&mut self, at: usize) {
        let mut fresh = self.leader_at(at);
        if let Some(old) = self.leader.take() {
            (fresh.given, fresh.heard) = (old.given, old.heard);
        }
        self.leader = Some(fresh);
    }

    /// One epoch is one plan, one number one state, and each rests on the one before.
    fn sound(&self, next: &Agreed) -> Result<(), String> {
        let (old, new) = (&self.stands.places.plan, &next.places.plan);
        if new.rows != old.rows && new.epoch != old.epoch + 1 {
            return Err(format!("plan {} follows plan {}", new.epoch, old.epoch));
        }
        let (old, new) = (&self.stands.addresses, &next.addresses);
        if new != old && !new.follows(Some(old)) {
            return Err(format!("state {} of addresses follows state {}", new.number, old.number));
        }
        Ok(())
    }

    /// Whoever leads decides.
    fn decide(&mut self) {
        let (t, now, flaw) = (self.t, self.clock(2), self.flaw);
        let turns = self.turning && t % TURNS == 0;
        let Some(leader) = &self.leader else { return };
        if !self.majority(leader.at) {
            return;
        }
        if leader.proposed.as_ref().is_some_and(|(since, _)| t >= since + GIVES_UP) {
            let at = leader.at;
            self.again(at);
        }
        let number = self.log.number;
        let Some(leader) = &self.leader else { return };
        // A body that was given up has come to stand there after all.
        if leader.proposed.is_none() && leader.number != number {
            let at = leader.at;
            self.again(at);
        }
        let Some(leader) = &mut self.leader else { return };
        leader.turns |= turns;
        if leader.proposed.is_some() {
            return;
        }
        let newest = if flaw == Some(Flaw::BehindIsOld) { number.saturating_sub(1) } else { number };
        let mut behind: BTreeMap<Region, Duration> = BTreeMap::new();
        for (name, left) in leader.given.behind(now, newest) {
            let of = names().iter().position(|known| *known == name).map(|n| Region(SITES[n] as u16));
            of.into_iter().for_each(|region| {
                let most = behind.entry(region).or_default();
                *most = (*most).max(left);
            });
        }
        if flaw == Some(Flaw::SkipsBehind) {
            behind.clear();
        }
        let health = |site: usize| {
            let fresh = |n: &usize| leader.heard[*n].is_some_and(|at| at + SILENCE >= t);
            let ready = (0..SITES.len()).filter(|n| SITES[*n] == site && fresh(n)).count();
            SiteHealth { region: Region(site as u16), served: 1.0, near: 1.0, ready, cut_off: ready == 0 }
        };
        let sites = [health(0), health(1)];
        let addresses = leader.decider.tick(now, &sites, &behind);
        let places = std::mem::take(&mut leader.turns).then(|| turned(&leader.stands.places));
        if addresses.is_some() || places.is_some() {
            let stands = (*leader.stands).clone();
            let agreed = Agreed {
                places: places.unwrap_or(stands.places),
                addresses: addresses.unwrap_or(stands.addresses),
            };
            self.put(agreed);
        }
    }

    /// Leases are asked for, and what is due of the answers comes.
    fn leases(&mut self) {
        for n in 0..SITES.len() {
            if self.runs(n) {
                self.ask(n);
                self.hear(n);
            }
        }
    }

    fn ask(&mut self, n: usize) {
        let (t, clock, now, flaw) = (self.t, self.clock(n), self.clock(2), self.flaw);
        let (number, body) = (self.log.number, Arc::clone(&self.log.body));
        let present = self.leader.as_ref().map(|leader| leader.at).filter(|at| self.hears(n, *at));
        let confirmed = present.is_some_and(|at| self.majority(at));
        // The first one has not heard of another leader, and goes on asking the one before as long as that one answers.
        let old = self.stale.as_ref().filter(|_| n == 0 && flaw == Some(Flaw::NotConfirmed));
        let to_old = old.is_some_and(|stale| self.hears(n, stale.at));
        let member = &mut self.members[n];
        member.request += 1;
        let request = member.request;
        member.holding.ask(request, clock);
        let (acts, has) =
            (member.agreed.as_ref().map_or(0, |(number, _)| *number), member.holding.newest().0);
        let due = member.late.max(t);
        let (leader, number, body) = match (&mut self.leader, &mut self.stale) {
            (_, Some(stale)) if to_old => {
                let (number, body) = (stale.number, stale.stands.encode().into());
                (stale, number, body)
            }
            (Some(leader), _) if confirmed => (leader, number, body),
            _ => return,
        };
        leader.heard[n] = Some(t);
        leader.given.heard(&names()[n], Some(acts), has);
        if leader.given.grant(now, &names()[n]) {
            member.answers.push((due, request, number, body));
        }
    }

    fn hear(&mut self, n: usize) {
        let (t, clock, flaw) = (self.t, self.clock(n), self.flaw);
        let member = &mut self.members[n];
        let (due, rest): (Vec<_>, Vec<_>) = member.answers.drain(..).partition(|(due, ..)| *due <= t);
        member.answers = rest;
        for (_, mut request, number, body) in due {
            if flaw == Some(Flaw::LeaseFromAnswer) {
                request += 1000;
                member.holding.ask(request, clock);
            }
            member.holding.granted(Some(request), number, Some(Arc::clone(&body)));
            if member.holding.newest().0 == number && number > 0 {
                member.agreed = Agreed::decode(&body).map(|agreed| (number, Arc::new(agreed)));
            }
        }
    }

    /// Routers ask, and keep to what they hear.
    fn polls(&mut self) {
        let (t, now, flaw) = (self.t, self.now(), self.flaw);
        for n in 0..SITES.len() {
            if self.runs(n) {
                let good = self.answer(n);
                let member = &mut self.members[n];
                let due = member.late_poll.max(t);
                // By a router's clock that goes slow.
                let held = |since: Duration, good: Duration| since + good.mul_f64(1.0 / 0.99);
                let until = good.map(|good| {
                    if flaw == Some(Flaw::HoldsFromAnswer) { held(STEP * due, good) } else { held(now, good) }
                });
                member.polls.push((due, until));
            }
            let member = &mut self.members[n];
            let (due, rest): (Vec<_>, Vec<_>) = member.polls.drain(..).partition(|(due, _)| *due <= t);
            member.polls = rest;
            for (_, until) in due {
                let held = &mut self.held[SITES[n]];
                *held = until.map_or(*held, |until| until.max(*held));
            }
        }
    }

    /// For how long a member's site announces the address.
    fn answer(&self, n: usize) -> Option<Duration> {
        let (member, clock) = (&self.members[n], self.clock(n));
        let past = self.flaw == Some(Flaw::AnnouncesPastLease);
        let until = member.holding.until().map(|until| if past { clock + times().lease } else { until });
        let own = Own {
            site: NAMES[SITES[n]].into(),
            ready: true,
            served: 1.0,
            lease_until: until,
            state: member.agreed.as_ref().map(|(_, agreed)| agreed.addresses.clone()),
        };
        match own.answer("one", clock) {
            Answer::Announces { good_for, .. } => Some(good_for),
            Answer::Withdrawn { .. } => None,
        }
    }

    /// The epoch of the plan that a member acts on in common.
    fn acts(&self, n: usize) -> Option<u64> {
        let (member, clock) = (&self.members[n], self.clock(n));
        let (_, agreed) = member.agreed.as_ref().filter(|_| self.runs(n))?;
        let holds = member.holding.until().is_some_and(|until| clock < until);
        let lease = holds || self.flaw == Some(Flaw::ActsPastLease);
        let zone = Zone(SITES[n] as u16);
        let mut acting = Acting::new(topology(), Rules::near_first(1, 1), zone, clock);
        acting.agreed(&agreed.places);
        let acts = acting.tick(clock, lease, &[], &[]);
        acts.in_common.then_some(acts.epoch)
    }

    fn check(&self) -> Result<(), String> {
        let now = self.now();
        if self.held.iter().all(|until| *until > now) {
            return Err(format!("two sites announce it at {now:?}"));
        }
        // Whoever acts on an earlier plan than the newest may not go on for longer than is stated.
        if now > self.since + times().contradiction {
            let newest = self.stands.places.plan.epoch;
            let old = (0..SITES.len()).find(|n| {
                let behind =
                    self.members[*n].agreed.as_ref().is_some_and(|(_, a)| a.places.plan.epoch < newest);
                behind && self.acts(*n).is_some()
            });
            if let Some(n) = old {
                return Err(format!("m{n} acts on an old plan {:?} after plan {newest}", now - self.since));
            }
        }
        Ok(())
    }

    /// All faults end, and everything has to come to rest: one announces the address, and all act on one plan.
    pub fn rest(mut self) -> Result<(), String> {
        let t = self.t;
        self.turning = false;
        for member in &mut self.members {
            (member.stopped, member.cut, member.late, member.late_poll) = (t, t, t, t);
        }
        self.late_body = t;
        for step in 0..RESTS {
            self.step(None)?;
            let now = self.now();
            let announced = self.held.iter().any(|until| *until > now);
            let newest = self.stands.places.plan.epoch;
            let all = (0..SITES.len()).all(|n| self.acts(n) == Some(newest));
            if step + 3 >= RESTS && !(announced && all) {
                let one = self.stands.addresses.addresses.get("one");
                let leader = self.leader.as_ref().map(|leader| (leader.at, leader.number));
                return Err(format!(
                    "no rest: announced {announced}, all act on {newest}: {all}; {one:?}; log {}, {leader:?}",
                    self.log.number
                ));
            }
        }
        Ok(())
    }

    /// Sites that announce it now.
    pub fn announcing(&self) -> BTreeSet<&'static str> {
        let now = self.now();
        (0..2).filter(|site| self.held[*site] > now).map(|site| NAMES[site]).collect()
    }
}

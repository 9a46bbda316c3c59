//! The world that is explored, in steps of a sixth of a lease.

use maplehook_address_announcement::{Address, Announce, Decider, Order};
use maplehook_cluster::Name;
use maplehook_failover::{Document, FULL_SHARE, Row, Share};
use maplehook_failover_agent::messages::AgreedState;
use maplehook_locality::{Region, Zone};
use maplehook_versions::{DocumentLeaseHolder, DocumentLeaseManager, LeaseTimes, SharedDocument as Log};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Members, and the site of each.
pub(super) const SITES: [usize; 3] = [0, 1, 1];
pub(super) const NAMES: [&str; 2] = ["a", "b"];
/// A step.
pub(super) const STEP: Duration = Duration::from_millis(800);
/// Steps for which a stop or a cut lasts: longer than a lease.
const LONG: u32 = 9;
/// Steps for which an answer, or a body on its way to the log, is late.
const LATE: u32 = 3;
/// Steps after which whoever leads gives up a body on its way.
pub(super) const GIVES_UP: u32 = 2;
/// Steps of silence after which a member is held for cut off, and another one leads.
pub(super) const SILENCE: u32 = 2;
/// Steps between two turns of the plan, while acts may come.
pub(super) const TURNS: u32 = 3;
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
pub(super) struct Leader {
    pub(super) at: usize,
    pub(super) decider: Decider,
    pub(super) given: DocumentLeaseManager,
    /// What it takes for what stands in the log.
    pub(super) number: u64,
    pub(super) stands: Arc<AgreedState>,
    /// A body of its own on its way, since this step.
    pub(super) proposed: Option<(u32, Arc<AgreedState>)>,
    /// By member: the last step at which it was heard.
    pub(super) heard: [Option<u32>; 3],
    pub(super) turns: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) holding: DocumentLeaseHolder,
    pub(super) request: u64,
    pub(super) agreed: Option<(u64, Arc<AgreedState>)>,
    /// Until which step.
    pub(super) stopped: u32,
    pub(super) cut: u32,
    pub(super) late: u32,
    pub(super) late_poll: u32,
    /// Answers on their way: due at, request, number, body.
    pub(super) answers: Vec<(u32, u64, u64, Arc<[u8]>)>,
    /// Answers to a router on their way: due at, good until.
    pub(super) polls: Vec<(u32, Option<Duration>)>,
}

/// Everything.
#[derive(Clone, Debug)]
pub struct World {
    pub(super) flaw: Option<Flaw>,
    pub(super) t: u32,
    pub(super) turning: bool,
    pub(super) log: Log,
    pub(super) stands: Arc<AgreedState>,
    /// When it came to stand there.
    pub(super) since: Duration,
    /// Bodies on their way: due at, by whom, the number that they rest on, the body.
    pub(super) on_the_way: Vec<(u32, usize, u64, Arc<AgreedState>)>,
    pub(super) late_body: u32,
    pub(super) leader: Option<Leader>,
    /// One that does not know yet that it is none.
    pub(super) stale: Option<Leader>,
    pub(super) silent: u32,
    pub(super) members: Vec<Member>,
    /// By site: until when a router sends clients there.
    pub(super) held: [Duration; 2],
}

pub(super) fn times() -> LeaseTimes {
    let none =
        LeaseTimes { max_conflict: Duration::ZERO, lease: Duration::ZERO, renew_interval: Duration::ZERO };
    LeaseTimes::new(Duration::from_secs(6)).unwrap_or(none)
}

pub(super) fn names() -> Vec<Name> {
    ["m0", "m1", "m2"].iter().filter_map(|name| Name::new(name)).collect()
}

pub(super) fn address() -> Address {
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

/// A's clients go to B, or B's to A.
pub(super) fn turned(before: &Document) -> Document {
    let mut next = before.clone();
    (next.zones, next.rules) = (NAMES.map(String::from).to_vec(), vec!["default".into()]);
    next.plan.epoch += 1;
    let from = Zone((next.plan.epoch % 2) as u16);
    let to = vec![Share { zone: Zone(1 - from.0), part: FULL_SHARE }];
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
            holding: DocumentLeaseHolder::new(times()),
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

    pub(super) fn now(&self) -> Duration {
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
    pub(super) fn clock(&self, n: usize) -> Duration {
        self.now().mul_f64([0.99, 1.0, 1.01][n])
    }

    pub(super) fn runs(&self, n: usize) -> bool {
        self.t >= self.members[n].stopped
    }

    pub(super) fn hears(&self, a: usize, b: usize) -> bool {
        let joined = a == b || self.t >= self.members[a].cut && self.t >= self.members[b].cut;
        self.runs(a) && self.runs(b) && joined
    }

    pub(super) fn majority(&self, n: usize) -> bool {
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
                (member.holding, member.agreed) = (DocumentLeaseHolder::new(times()), None);
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
                    let agreed = AgreedState { addresses, ..(*leader.stands).clone() };
                    self.put(agreed);
                }
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        let now = self.now();
        if self.held.iter().all(|until| *until > now) {
            return Err(format!("two sites announce it at {now:?}"));
        }
        // Whoever acts on an earlier plan than the newest may not go on for longer than is stated.
        if now > self.since + times().max_conflict {
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

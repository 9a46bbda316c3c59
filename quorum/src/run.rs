//! The thread on which a balancer agrees with others on what they share.
//!
//! It has a lease renewed, hears of steps, and tells the thread that serves by what to act ([`Acting`]); that one says what it has
//! come to act on, and only then do the others hear of it. A voter's part runs here too: its disk may be slow, and no request
//! waits for it.

use crate::store::Store;
use crate::talk::{Op, RAFT, Reply, Say, VERSIONS};
use crate::voter::{Ended, Voter, id};
use maplehook_agreement::grants::{CutOff, Grants, Times};
use maplehook_agreement::holder::{Holder, Told};
use maplehook_agreement::steps::{Step, digest};
use maplehook_agreement::strict::{careful, contradictions, strictest};
use maplehook_config::Proxy;
use maplehook_link::Talk;
use maplehook_link::frames::Message;
use maplehook_tier::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Raft's tick.
const TICK: Duration = Duration::from_millis(50);
/// How often a voter without a log asks the others whether they have one.
pub(crate) const FOUNDING: Duration = Duration::from_millis(300);
/// How long a wish that was passed on, or a check, may take.
pub(crate) const WISH: Duration = Duration::from_millis(1500);
pub(crate) const CHECK: Duration = Duration::from_millis(800);
/// Wishes that may be under way.
pub(crate) const WISHES_MOST: usize = 64;

/// Who agrees, and how.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This balancer.
    pub own: Name,
    /// The voters.
    pub voters: Vec<Name>,
    /// All that there may be, this one among them.
    pub members: BTreeSet<Name>,
    /// The times.
    pub times: Times,
    /// What one does that has lost touch.
    pub cut_off: CutOff,
    /// Where a voter keeps its log.
    pub directory: Option<PathBuf>,
    /// This balancer's file.
    pub file: String,
}

/// By what to act.
#[derive(Clone, Debug)]
pub struct Acting {
    /// The epoch.
    pub epoch: u64,
    /// The version in force, or the two between which a change stands: `3`, `3-4`; `0` before the first.
    pub label: String,
    /// The rules, as long as the lease lasts.
    pub rules: Arc<Proxy>,
    /// Until when; `None`: for good.
    pub until: Option<Instant>,
    /// The rules after that; `None`: everything is refused.
    pub careful: Option<Arc<Proxy>>,
    /// There is no lease at all.
    pub cut_off: bool,
}

/// How it stands here.
#[derive(Clone, Debug)]
pub struct Local {
    /// The version in force here; 0 if none.
    pub in_force: u64,
    /// The epoch that is acted on.
    pub epoch: u64,
    /// The step.
    pub step: Step,
    /// The digest of the version in force, or of the own file before the first.
    pub digest: String,
    /// What is left of the lease.
    pub lease_left: Option<Duration>,
    /// Whether there is none.
    pub careful: bool,
    /// Whom it takes for the leader.
    pub leader: Option<String>,
    /// What is wrong with its part in votes, if anything is.
    pub voter: Option<String>,
}

type Asked = (Op, oneshot::Sender<(Local, Reply)>);

/// A balancer's part, on a thread of its own; it ends when this is dropped.
pub struct Agreeing {
    /// By what to act.
    pub acting: watch::Receiver<Acting>,
    /// What the thread that serves acts on.
    pub applied: watch::Sender<u64>,
    asks: mpsc::Sender<Asked>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Tells operators, and takes their wishes.
#[derive(Clone)]
pub struct Wishes(mpsc::Sender<Asked>);

impl Wishes {
    /// `None` where the thread does not answer.
    pub async fn ask(&self, op: Op) -> Option<(Local, Reply)> {
        let (reply, ended) = oneshot::channel();
        self.0.try_send((op, reply)).ok()?;
        ended.await.ok()
    }
}

impl Agreeing {
    /// Begins to agree. The file is known to be good.
    pub fn start(setup: Setup, talk: Talk) -> Result<Self, String> {
        let (shared, _) = maplehook_config::shared(&setup.file).map_err(|e| e.to_string())?;
        let own = read(&setup.file, &shared)?;
        let (acting_to, acting) = watch::channel(first(&own, setup.cut_off));
        let (applied, applies) = watch::channel(0);
        let (asks, asked) = mpsc::channel(32);
        let (stop, stopped) = oneshot::channel();
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let thread = std::thread::Builder::new()
            .name("agreement".into())
            .stack_size(1024 * 1024)
            .spawn(move || {
                let runner = Runner::new(setup, shared, own, talk.say, acting_to);
                runtime.block_on(runner.run(talk.heard, applies, asked, stopped));
            })
            .map_err(|e| e.to_string())?;
        Ok(Self { acting, applied, asks, stop: Some(stop), thread: Some(thread) })
    }

    /// By which operators ask.
    pub fn wishes(&self) -> Wishes {
        Wishes(self.asks.clone())
    }
}

impl Drop for Agreeing {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The rules of a file with this shared part.
fn read(file: &str, shared: &str) -> Result<Arc<Proxy>, String> {
    let whole = maplehook_config::with_shared(file, shared).map_err(|e| e.to_string())?;
    let operator = maplehook_config::parse(&whole).map_err(|e| e.to_string())?;
    operator.proxy.map(Arc::new).ok_or_else(|| "it names no class and no upstream".into())
}

/// Before anything was heard.
fn first(own: &Arc<Proxy>, cut_off: CutOff) -> Acting {
    let careful = (cut_off != CutOff::Refuse).then(|| Arc::new(careful(own)));
    Acting { epoch: 0, label: "0".into(), rules: Arc::clone(own), until: None, careful, cut_off: true }
}

/// Who is to hear how a wish ended.
pub(crate) enum Wisher {
    Here(oneshot::Sender<(Local, Reply)>),
    There(Name, u64),
    Nobody,
}

/// A voter's part.
pub(crate) enum Part {
    /// It does not vote.
    None,
    /// It has no log yet, and hears whether the others have.
    Founding {
        number: u64,
        heard: BTreeMap<Name, u64>,
        asked: Option<Instant>,
    },
    Voting {
        voter: Box<Voter>,
        store: Store,
        grants: Option<Grants>,
    },
    /// It must not vote.
    Out(String),
}

/// A proposal that the members look at.
pub(crate) struct Checking {
    pub(crate) op: Op,
    pub(crate) wisher: Wisher,
    pub(crate) waits: BTreeSet<Name>,
    pub(crate) until: Instant,
}

/// What waits for the others' word that this voter leads.
pub(crate) enum Reading {
    Lease { from: Name, number: u64, epoch: u64, has: u64 },
    Status(Wisher),
}

pub(crate) struct Runner {
    pub(crate) setup: Setup,
    /// The own file's shared part.
    pub(crate) shared: String,
    pub(crate) digest: String,
    pub(crate) own: Arc<Proxy>,
    pub(crate) say: mpsc::Sender<(Name, Message)>,
    pub(crate) acting: watch::Sender<Acting>,
    pub(crate) epoch: Instant,
    pub(crate) holder: Holder,
    pub(crate) applied: u64,
    /// A step whose texts can't be acted on here is not acted on.
    pub(crate) unfit: Option<String>,
    pub(crate) leader: Option<Name>,
    pub(crate) next_voter: usize,
    pub(crate) part: Part,
    pub(crate) readings: BTreeMap<u64, Reading>,
    pub(crate) proposals: BTreeMap<u64, Wisher>,
    pub(crate) passed_on: BTreeMap<u64, (Wisher, Instant)>,
    pub(crate) checks: BTreeMap<u64, Checking>,
    pub(crate) advancing: Option<u64>,
    pub(crate) digests: BTreeMap<Name, (String, Instant)>,
}

impl Runner {
    pub(crate) fn new(
        setup: Setup,
        shared: String,
        own: Arc<Proxy>,
        say: mpsc::Sender<(Name, Message)>,
        acting: watch::Sender<Acting>,
    ) -> Self {
        let holder = Holder::new(setup.times, setup.cut_off);
        let digest = digest(&shared);
        let mut runner = Self {
            setup,
            shared,
            digest,
            own,
            say,
            acting,
            epoch: Instant::now(),
            holder,
            applied: 0,
            unfit: None,
            leader: None,
            next_voter: 0,
            part: Part::None,
            readings: BTreeMap::new(),
            proposals: BTreeMap::new(),
            passed_on: BTreeMap::new(),
            checks: BTreeMap::new(),
            advancing: None,
            digests: BTreeMap::new(),
        };
        if runner.setup.voters.contains(&runner.setup.own) {
            runner.open();
        }
        runner
    }

    pub(crate) fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    async fn run(
        mut self,
        mut heard: mpsc::Receiver<(Name, Message)>,
        mut applies: watch::Receiver<u64>,
        mut asked: mpsc::Receiver<Asked>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stopped => return,
                _ = tick.tick() => self.tick(),
                said = heard.recv() => match said {
                    Some((from, message)) => self.hear(&from, &message),
                    // The tier's thread has ended.
                    None => return,
                },
                changed = applies.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.applied = *applies.borrow_and_update();
                    // The others wait to hear of it.
                    self.ask_for_a_lease();
                }
                Some((op, reply)) = asked.recv() => self.wish(op, Wisher::Here(reply)),
            }
            self.settle();
        }
    }

    pub(crate) fn tell(&self, to: &Name, say: &Say) {
        if let Ok(body) = postcard::to_stdvec(say) {
            // What does not fit is said again, or was not needed.
            let _ = self.say.try_send((to.clone(), Message { topic: VERSIONS, body: body.into() }));
        }
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = Name> {
        let own = self.setup.own.clone();
        self.setup.voters.clone().into_iter().filter(move |name| *name != own)
    }

    pub(crate) fn tick(&mut self) {
        if let Part::Voting { voter, .. } = &mut self.part {
            voter.tick();
        }
        self.found();
        if self.now() >= self.holder.renews() {
            self.ask_for_a_lease();
        }
        let now = Instant::now();
        let over: Vec<u64> = self
            .passed_on
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in over {
            if let Some((wisher, _)) = self.passed_on.remove(&ticket) {
                self.end(
                    wisher,
                    Reply::Unavailable("the leader does not answer; it may be done or not".into()),
                );
            }
        }
        let over: Vec<u64> =
            self.checks.iter().filter(|(_, check)| check.until <= now).map(|(ticket, _)| *ticket).collect();
        for ticket in over {
            if let Some(check) = self.checks.remove(&ticket) {
                // Whoever holds a lease and does not answer may be one that can't act on it.
                let names: Vec<String> = check.waits.iter().map(ToString::to_string).collect();
                let why = format!("{} did not say whether it can act on this", names.join(", "));
                self.end(check.wisher, Reply::Unavailable(why));
            }
        }
        self.lead();
    }

    /// Asks whoever leads for a lease. The clock is read before anything is said.
    pub(crate) fn ask_for_a_lease(&mut self) {
        let now = self.now();
        let number = self.holder.ask(now);
        if let Part::Voting { voter, .. } = &self.part
            && voter.leads()
        {
            self.asked(
                &self.setup.own.clone(),
                number,
                self.applied,
                self.holder.epoch(),
                self.digest.clone(),
            );
            return;
        }
        let to = match &self.leader {
            Some(leader) => leader.clone(),
            None => {
                let others: Vec<Name> = self.others().collect();
                self.next_voter = self.next_voter.wrapping_add(1);
                let Some(to) = others.get(self.next_voter % others.len().max(1)) else { return };
                to.clone()
            }
        };
        // It is asked again elsewhere if nothing comes of it.
        if self.holder.until().is_none_or(|until| until < now) {
            self.leader = None;
        }
        let (epoch, has, digest) = (self.applied, self.holder.epoch(), self.digest.clone());
        self.tell(&to, &Say::Ask { number, epoch, has, digest });
    }

    /// A member asks this voter for a lease.
    pub(crate) fn asked(&mut self, from: &Name, number: u64, epoch: u64, has: u64, digest: String) {
        let Part::Voting { voter, .. } = &mut self.part else {
            self.tell(from, &Say::Elsewhere { leader: None });
            return;
        };
        if !voter.knows() {
            let leader = voter.leader().filter(|leader| **leader != self.setup.own).map(ToString::to_string);
            self.tell(from, &Say::Elsewhere { leader });
            return;
        }
        let ticket = fastrand::u64(..);
        if voter.read(ticket) {
            self.readings.insert(ticket, Reading::Lease { from: from.clone(), number, epoch, has });
        }
        self.digests.insert(from.clone(), (digest, Instant::now()));
    }

    pub(crate) fn hear(&mut self, from: &Name, message: &Message) {
        if message.topic == RAFT {
            if let Part::Voting { voter, .. } = &mut self.part
                && !voter.step(from, &message.body)
            {
                tracing::debug!(%from, "a message of a voter makes no sense");
            }
            return;
        }
        let Ok(say) = postcard::from_bytes::<Say>(&message.body) else {
            tracing::debug!(%from, "a message on versions can't be read");
            return;
        };
        match say {
            Say::Ask { number, epoch, has, digest } => self.asked(from, number, epoch, has, digest),
            Say::Grant { number, epoch, told } => {
                self.leader = Some(from.clone());
                self.granted(number, epoch, told.map(Told::from));
            }
            Say::Elsewhere { leader } => {
                self.leader =
                    leader.and_then(|name| Name::new(&name)).filter(|name| self.setup.members.contains(name));
            }
            Say::Wish { ticket, op } => self.wish(op, Wisher::There(from.clone(), ticket)),
            Say::End { ticket, reply } => {
                if let Some((wisher, _)) = self.passed_on.remove(&ticket) {
                    self.end(wisher, reply);
                }
            }
            Say::Check { ticket, text } => {
                let fault = self.fits(&text).err();
                self.tell(from, &Say::Checked { ticket, fault });
            }
            Say::Checked { ticket, fault } => self.checked(from, ticket, fault),
            Say::Founding { number, founded, asks } => self.founding(from, number, &founded, asks),
        }
    }

    /// Whether this text could be acted on here.
    pub(crate) fn fits(&self, text: &str) -> Result<Arc<Proxy>, String> {
        let rules = read(&self.setup.file, text)?;
        let present = &self.acting.borrow().rules;
        if rules.tenants.first() != present.tenants.first() {
            return Err("tenant: the first [[tenant]] has to stay the first: whoever names none is it".into());
        }
        if self.own.eureka.is_some() && rules.upstreams != self.own.upstreams {
            return Err("upstream: beside [eureka] those of the file stay as they are".into());
        }
        Ok(rules)
    }

    pub(crate) fn granted(&mut self, number: u64, epoch: u64, told: Option<Told>) {
        if self.holder.granted(number, epoch, told) {
            self.unfit = None;
        }
        let (epoch, step) = match self.holder.told() {
            Some(told) if told.step != Step::Unsettled => (told.epoch, told.step),
            _ => return,
        };
        let until = match self.setup.cut_off {
            CutOff::WaitForAll => None,
            _ => self.holder.until().map(|until| self.epoch + until),
        };
        let news = self.acting.borrow().epoch != epoch;
        if !news {
            self.acting.send_modify(|acting| acting.until = until);
            return;
        }
        if self.unfit.is_some() {
            return;
        }
        let rules =
            self.holder.told().map_or_else(|| Err("nothing is agreed".into()), |told| self.rules(told));
        match rules {
            Ok((rules, label)) => {
                let careful = (self.setup.cut_off != CutOff::Refuse).then(|| Arc::new(careful(&rules)));
                tracing::info!(version = label, epoch, step = %step, "acts on another step");
                self.acting.send_replace(Acting { epoch, label, rules, until, careful, cut_off: false });
            }
            Err(e) => {
                tracing::error!("the version that was agreed on can't be acted on here: {e}");
                self.unfit = Some(e);
            }
        }
    }

    /// What a step comes to here.
    pub(crate) fn rules(&self, told: &Told) -> Result<(Arc<Proxy>, String), String> {
        let of = |number: u64| {
            let version = told.versions.iter().find(|version| version.number == number);
            let version = version.ok_or_else(|| format!("version {number} was not told"))?;
            read(&self.setup.file, &version.text)
        };
        match told.step {
            Step::Unsettled => Err("nothing is agreed".into()),
            Step::Settled(number) => Ok((of(number)?, number.to_string())),
            Step::Strictest { from, to } => {
                let (old, new) = (of(from)?, of(to)?);
                for what in contradictions(&old, &new) {
                    tracing::info!(from, to, "the strictest reading holds: {what}");
                }
                Ok((Arc::new(strictest(&old, &new)), format!("{from}-{to}")))
            }
        }
    }

    pub(crate) fn end(&self, wisher: Wisher, reply: Reply) {
        match wisher {
            // It may have given up.
            Wisher::Here(to) => drop(to.send((self.local(), reply))),
            Wisher::There(name, ticket) => self.tell(&name, &Say::End { ticket, reply }),
            Wisher::Nobody => {}
        }
    }

    /// Does what follows from what has come.
    pub(crate) fn settle(&mut self) {
        let Part::Voting { voter, store, grants } = &mut self.part else { return };
        let settled = voter.settle(&mut |batch| store.write(batch));
        let leads = voter.leads();
        let settled = match settled {
            Ok(settled) => settled,
            Err(e) => {
                tracing::error!(
                    "this voter's log can't be written: {e}; it takes no part in votes until its next start"
                );
                self.part = Part::Out(e.to_string());
                self.advancing = None;
                self.readings.clear();
                for (_, wisher) in std::mem::take(&mut self.proposals) {
                    self.end(
                        wisher,
                        Reply::Unavailable("this voter's disk fails; it may be done or not".into()),
                    );
                }
                return;
            }
        };
        if settled.turned {
            let now = self.epoch.elapsed();
            *grants = leads
                .then(|| Grants::new(self.setup.times, self.setup.cut_off, self.setup.members.clone(), now));
            self.digests.clear();
            self.advancing = None;
            tracing::info!(leads, "leads the voters, or no more");
            let readings = std::mem::take(&mut self.readings);
            for reading in readings.into_values() {
                if let Reading::Status(wisher) = reading {
                    self.end(wisher, Reply::Unavailable("the leader has changed".into()));
                }
            }
            let checks = std::mem::take(&mut self.checks);
            for check in checks.into_values() {
                self.end(check.wisher, Reply::Unavailable("the leader has changed".into()));
            }
        }
        for (to, bytes) in settled.messages {
            let name = self.setup.voters.iter().find(|name| id(name) == to);
            if let Some(name) = name {
                // What is lost Raft says again.
                let _ = self.say.try_send((name.clone(), Message { topic: RAFT, body: bytes.into() }));
            }
        }
        for ticket in settled.confirmed {
            self.confirmed(ticket);
        }
        for (ticket, ended) in settled.ended {
            if self.advancing == Some(ticket) {
                self.advancing = None;
            }
            let Some(wisher) = self.proposals.remove(&ticket) else { continue };
            let reply = match ended {
                Ended::Played(Ok(number)) => Reply::Done(number),
                Ended::Played(Err(refused)) => Reply::Refused(refused.to_string()),
                Ended::Unknown => Reply::Unavailable("the leader has changed; it may be done or not".into()),
            };
            self.end(wisher, reply);
        }
    }

    /// The others say that this voter led after this was asked.
    pub(crate) fn confirmed(&mut self, ticket: u64) {
        let now = self.now();
        match self.readings.remove(&ticket) {
            Some(Reading::Lease { from, number, epoch, has }) => {
                let Part::Voting { voter, grants: Some(grants), .. } = &mut self.part else { return };
                let steps = voter.steps();
                if !grants.grant(now, &from, epoch) {
                    return;
                }
                let now_at = steps.epoch;
                let told = (has != now_at).then(|| Told::of(steps));
                if from == self.setup.own {
                    self.granted(number, now_at, told);
                } else {
                    let told = told.map(Into::into);
                    self.tell(&from, &Say::Grant { number, epoch: now_at, told });
                }
            }
            Some(Reading::Status(wisher)) => {
                let reply = match &self.part {
                    Part::Voting { voter, .. } => Reply::Overview(self.overview(voter.steps())),
                    _ => Reply::Unavailable("this voter leads no more".into()),
                };
                self.end(wisher, reply);
            }
            None => {}
        }
    }

    pub(crate) fn local(&self) -> Local {
        let now = self.now();
        let told = self.holder.told();
        let step = told.map_or(Step::Unsettled, |told| told.step);
        let in_force = match step {
            Step::Unsettled => 0,
            Step::Settled(number) | Step::Strictest { from: number, .. } => number,
        };
        let digest = told
            .and_then(|told| told.versions.iter().find(|version| version.number == in_force))
            .map_or_else(|| self.digest.clone(), |version| version.digest.clone());
        let lease_left = self.holder.until().and_then(|until| until.checked_sub(now));
        let leads = matches!(&self.part, Part::Voting { voter, .. } if voter.leads());
        let leader = match &self.part {
            Part::Voting { voter, .. } => voter.leader().cloned(),
            _ => self.leader.clone(),
        };
        let voter = match &self.part {
            Part::Out(why) => Some(why.clone()),
            Part::Founding { heard, .. } => {
                let missing = self.others().filter(|name| !heard.contains_key(name));
                let names: Vec<String> = missing.map(|name| name.to_string()).collect();
                Some(format!("the first start waits for all voters; missing: {}", names.join(", ")))
            }
            _ => None,
        };
        let careful = match self.setup.cut_off {
            CutOff::WaitForAll => in_force == 0,
            _ => in_force == 0 || lease_left.is_none(),
        };
        Local {
            in_force,
            epoch: self.applied,
            step,
            digest,
            lease_left,
            careful,
            leader: if leads {
                Some(self.setup.own.to_string())
            } else {
                leader.map(|name| name.to_string())
            },
            voter: voter.or_else(|| self.unfit.clone()),
        }
    }
}

//! The thread on which a balancer agrees with others on what they share.
//!
//! It has a lease renewed, hears of steps, and tells the thread that serves by what to act ([`Acting`]); that one says what it has
//! come to act on, and only then do the others hear of it. A voter's part runs here too: its disk may be slow, and no request
//! waits for it.

use crate::acting::{Acting, Local};
use crate::agreeing::{Asked, Setup};
use crate::checks::Checking;
use crate::common::{Hears, Share, Tells};
use crate::shelf::Topic;
use crate::store::Store;
use crate::talk::{RAFT, Reply, Say, VERSIONS};
use crate::voter::{Ended, Voter};
use maplehook_cluster::Name;
use maplehook_config::Proxy;
use maplehook_transport::frames::Message;
use maplehook_versions::grants::Grants;
use maplehook_versions::holder::Holder;
use maplehook_versions::steps::digest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Raft's tick.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// How often a voter without a log asks the others whether they have one.
pub(crate) const FOUNDING: Duration = Duration::from_millis(300);
/// How long a wish that was passed on, or a check, may take.
pub(crate) const WISH: Duration = Duration::from_millis(1500);
pub(crate) const CHECK: Duration = Duration::from_millis(800);
/// Bytes of texts that a leader tells within a tick.
pub(crate) const TEXTS_AT_ONCE: usize = 4 << 20;
/// Wishes that may be under way.
pub(crate) const WISHES_MOST: usize = 64;

/// The rules of a file with this shared part.
pub(crate) fn read(file: &str, shared: &str) -> Result<Arc<Proxy>, String> {
    let whole = maplehook_config::with_shared(file, shared).map_err(|e| e.to_string())?;
    let operator = maplehook_config::parse(&whole).map_err(|e| e.to_string())?;
    operator.proxy.map(Arc::new).ok_or_else(|| "it names no class and no upstream".into())
}

/// Who is to hear how a wish ended.
pub(crate) enum Wisher {
    Here(oneshot::Sender<(Local, Reply)>),
    There(Name, u64),
    /// Whoever makes the common document.
    Put(oneshot::Sender<Result<u64, String>>),
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

/// A member that is asked to take a voter's place.
pub(crate) struct Seating {
    pub(crate) old: Name,
    pub(crate) new: Name,
    pub(crate) wisher: Wisher,
    pub(crate) until: Instant,
}

/// What waits for the others' word that this voter leads.
pub(crate) enum Reading {
    Lease {
        from: Name,
        number: u64,
        epoch: u64,
        has: u64,
    },
    Status(Wisher),
    /// Whether this one votes, who speaks as if it did.
    Voter(Name),
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
    /// What the last texts come to here, by their digests: a long one is not read again at each step.
    pub(crate) read: VecDeque<(String, Arc<Proxy>)>,
    /// A step whose texts can't be acted on here is not acted on.
    pub(crate) unfit: Option<String>,
    pub(crate) leader: Option<Name>,
    pub(crate) next_voter: usize,
    pub(crate) part: Part,
    pub(crate) readings: BTreeMap<u64, Reading>,
    pub(crate) proposals: BTreeMap<u64, Wisher>,
    pub(crate) passed_on: BTreeMap<u64, (Wisher, Instant)>,
    pub(crate) checks: BTreeMap<u64, Checking>,
    pub(crate) seats: BTreeMap<u64, Seating>,
    /// Bytes of texts that were told since, and since when: what a leader holds for many that are slow stays bounded.
    pub(crate) texts_told: (usize, Instant),
    pub(crate) advancing: Option<u64>,
    pub(crate) digests: BTreeMap<Name, (String, Instant)>,
    /// Its part in the common document.
    pub(crate) share: Share,
    /// Whose part of it the put is of that is under way, or was the last.
    pub(crate) putting: Option<Topic>,
}

/// All that comes to the thread.
pub(crate) struct Ears {
    pub(crate) heard: mpsc::Receiver<(Name, Message)>,
    pub(crate) applies: watch::Receiver<u64>,
    pub(crate) acts: watch::Receiver<u64>,
    pub(crate) asked: mpsc::Receiver<Asked>,
    pub(crate) places: Hears,
    pub(crate) rollout: Hears,
    pub(crate) stopped: oneshot::Receiver<()>,
}

/// Takes out those of which something holds.
fn take_where<T>(of: &mut BTreeMap<u64, T>, mut holds: impl FnMut(&T) -> bool) -> Vec<T> {
    let tickets: Vec<u64> = of.iter().filter(|(_, one)| holds(one)).map(|(ticket, _)| *ticket).collect();
    tickets.into_iter().filter_map(|ticket| of.remove(&ticket)).collect()
}

impl Runner {
    pub(crate) fn new(
        setup: Setup,
        shared: String,
        own: Arc<Proxy>,
        say: mpsc::Sender<(Name, Message)>,
        acting: watch::Sender<Acting>,
        tells: BTreeMap<Topic, Tells>,
    ) -> Self {
        let share = Share::new(setup.times, tells);
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
            read: VecDeque::new(),
            unfit: None,
            leader: None,
            next_voter: 0,
            part: Part::None,
            readings: BTreeMap::new(),
            proposals: BTreeMap::new(),
            passed_on: BTreeMap::new(),
            checks: BTreeMap::new(),
            seats: BTreeMap::new(),
            texts_told: (0, Instant::now()),
            advancing: None,
            digests: BTreeMap::new(),
            share,
            putting: None,
        };
        let has_voted = runner.setup.directory.as_deref().is_some_and(crate::store::has_voted);
        if has_voted || runner.setup.voters.contains(&runner.setup.own) {
            runner.open();
        }
        runner
    }

    pub(crate) fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    pub(crate) async fn run(mut self, ears: Ears) {
        let Ears { mut heard, mut applies, mut acts, mut asked, mut places, mut rollout, mut stopped } = ears;
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
                changed = acts.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let number = *acts.borrow_and_update();
                    self.share.acts = self.share.acts.map(|_| number);
                    self.ask_for_a_lease();
                }
                Some((op, reply)) = asked.recv() => self.wish(op, Wisher::Here(reply)),
                put = places.puts.recv(), if self.share.acts.is_some() => match put {
                    Some(put) => self.put_common(Topic::Places, put),
                    // Nobody makes it here: it has no part.
                    None => self.share.acts = None,
                },
                Some((to, message)) = places.said.recv() => self.tell_of_common(Topic::Places, to, &message.body),
                Some(put) = rollout.puts.recv() => self.put_common(Topic::Rollout, put),
                Some((to, message)) = rollout.said.recv() => self.tell_of_common(Topic::Rollout, to, &message.body),
            }
            self.settle();
            self.put_next();
            self.push_common();
            self.stand();
        }
    }

    pub(crate) fn tell(&self, to: &Name, say: &Say) {
        if let Ok(body) = postcard::to_stdvec(say) {
            // What does not fit is said again, or was not needed.
            let _ = self.say.try_send((to.clone(), Message { topic: VERSIONS, body: body.into() }));
        }
    }

    /// The same to several: its bytes are there once.
    pub(crate) fn tell_all(&self, to: &BTreeSet<Name>, say: &Say) {
        let Ok(body) = postcard::to_stdvec(say) else { return };
        let body = bytes::Bytes::from(body);
        for name in to {
            // What does not fit is said again, or was not needed.
            let _ = self.say.try_send((name.clone(), Message { topic: VERSIONS, body: body.clone() }));
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
        for (wisher, _) in take_where(&mut self.passed_on, |(_, until)| *until <= now) {
            self.end(wisher, Reply::Unavailable("the leader does not answer; it may be done or not".into()));
        }
        self.look_at_all();
        for Seating { new, wisher, .. } in take_where(&mut self.seats, |seating| seating.until <= now) {
            self.end(wisher, Reply::Unavailable(format!("{new} does not answer")));
        }
        self.lead();
        self.share.due();
    }

    pub(crate) fn end(&self, wisher: Wisher, reply: Reply) {
        match wisher {
            // It may have given up.
            Wisher::Here(to) => drop(to.send((self.local(), reply))),
            Wisher::There(name, ticket) => self.tell(&name, &Say::End { ticket, reply }),
            Wisher::Put(to) => drop(to.send(match reply {
                Reply::Done(number) => Ok(number),
                Reply::Refused(why) | Reply::Unavailable(why) => Err(why),
                _ => Err("it has no such end".into()),
            })),
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
                self.check_no_more("this voter's disk fails");
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
            self.share.turned(leads, now, &self.setup);
            tracing::info!(leads, "leads the voters, or no more");
            let readings = std::mem::take(&mut self.readings);
            for reading in readings.into_values() {
                if let Reading::Status(wisher) = reading {
                    self.end(wisher, Reply::Unavailable("the leader has changed".into()));
                }
            }
            self.check_no_more("the leader has changed");
        }
        if let Part::Voting { voter, .. } = &self.part
            && voter.unseated()
        {
            return self.unseated();
        }
        for (to, bytes) in settled.messages {
            if let Part::Voting { voter, .. } = &self.part
                && let Some(name) = voter.name_of(to)
            {
                // What is lost Raft says again.
                let _ = self.say.try_send((name, Message { topic: RAFT, body: bytes.into() }));
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
}

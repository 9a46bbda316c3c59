//! The common document beside versions: whoever leads puts it, all that hold a lease are told at once, and say by which they act.
//!
//! Leases on it go with those of versions and hold whatever `when_cut_off` says: where versions have none (`wait_for_all`) this
//! one's are asked for, granted and run out all the same.
//!
//! Beside programs that know no common document: a member of one says no number, is given none, holds no lease on it, and is named
//! as such. A voter of one passes the entries over and counts for their majority; while it leads nothing is put and no lease
//! granted. What it has compacted it lacks when it is upgraded: its log says so ([`Document::gap`]), goes on with the next entry,
//! and while it leads before that it waits for the longest lease and puts on the highest number that members say.
//!
//! [`Document::gap`]: maplehook_versions::common::Document::gap

use crate::agreeing::Setup;
use crate::run::{Part, Runner, Wisher};
use crate::shelf::{PART_MOST, Shelf, Topic};
use crate::talk::Say;
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_transport::frames::Message;
use maplehook_versions::common::{Given, Holding};
use maplehook_versions::grants::Times;
use maplehook_versions::steps::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// The topic of what makers of the common document say to one another.
pub const PLACES: u8 = 4;
/// Messages of that topic that may wait, and puts.
const WAITING: usize = 256;
const PUTS: usize = 4;

/// A part's body that was agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Common {
    /// Its number: each later one is higher, from 1 on.
    pub number: u64,
    /// Its bytes.
    pub body: Arc<[u8]>,
}

/// A member that may still act on an earlier body than the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behind {
    /// Its name.
    pub name: Name,
    /// For how long at the most, by the leader's clock, with what clocks may differ by.
    pub left: Duration,
}

/// How it stands with the common document here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// The newest that this member was told.
    pub common: Option<Common>,
    /// Until when it may be acted on; `None`: there was no lease yet.
    pub until: Option<Instant>,
    /// Whom this one takes for the leader.
    pub leader: Option<Name>,
    /// This one leads, and a majority has said so within a lease.
    pub leads: bool,
    /// At a voter: what stands in the log as it knows it; the leader goes on from it.
    pub agreed: Option<Common>,
    /// At the leader: who may still act on an earlier body than the newest.
    pub behind: Vec<Behind>,
    /// The longest that a lease can last by the leader's clock.
    pub longest_lease: Duration,
    /// At the leader: who holds a lease, and the number that it said it acts on; `None`: its program knows no common document.
    pub members: Vec<(Name, Option<u64>)>,
}

/// A body that is to take the place of a part's in force.
#[derive(Debug)]
pub struct Put {
    /// The number at which the part has to have changed last.
    pub expect: u64,
    /// The body, at most 256 KiB.
    pub body: Vec<u8>,
    /// Its number, once it is agreed on; or why it is not, or may not be.
    pub done: oneshot::Sender<Result<u64, String>>,
}

/// The ways of whoever makes a part of the common document.
#[derive(Debug)]
pub struct Ways {
    /// What it says to its like; the topic is set to [`PLACES`].
    pub say: mpsc::Sender<(Name, Message)>,
    /// What they say.
    pub heard: mpsc::Receiver<(Name, Bytes)>,
    /// What is to be agreed on.
    pub put: mpsc::Sender<Put>,
}

/// The other ends of these ways.
pub(crate) struct Hears {
    pub(crate) said: mpsc::Receiver<(Name, Message)>,
    pub(crate) puts: mpsc::Receiver<Put>,
}

pub(crate) struct Tells {
    heard: mpsc::Sender<(Name, Bytes)>,
    standing: watch::Sender<Standing>,
}

pub(crate) struct Inner {
    pub(crate) hears: Hears,
    pub(crate) tells: Tells,
}

pub(crate) fn ways() -> (Ways, watch::Receiver<Standing>, Inner) {
    let ((say, said), (tell, heard)) = (mpsc::channel(WAITING), mpsc::channel(WAITING));
    let ((put, puts), (standing, stands)) = (mpsc::channel(PUTS), watch::channel(Standing::default()));
    let tells = Tells { heard: tell, standing };
    (Ways { say, heard, put }, stands, Inner { hears: Hears { said, puts }, tells })
}

/// A balancer's part in the common document.
pub(crate) struct Share {
    pub(crate) holding: Holding,
    /// The number that is acted on here.
    pub(crate) acts: Option<u64>,
    pub(crate) given: Option<Given>,
    /// The newest number that was pushed, and to whom it is still to be.
    pushed: u64,
    push: BTreeSet<Name>,
    /// Who granted the last lease.
    pub(crate) granted_by: Option<Name>,
    /// Members that can't act on a step, since when they said so.
    unfit: BTreeMap<Name, (u64, String)>,
    pub(crate) news: bool,
    tells: BTreeMap<Topic, Tells>,
    /// A put for which another part's makes way first.
    next: Option<(Topic, Put)>,
}

impl Share {
    pub(crate) fn new(times: Times, tells: BTreeMap<Topic, Tells>) -> Self {
        Self {
            holding: Holding::new(times),
            acts: Some(0),
            given: None,
            pushed: 0,
            push: BTreeSet::new(),
            granted_by: None,
            unfit: BTreeMap::new(),
            news: true,
            tells,
            next: None,
        }
    }

    /// This voter leads, or no more.
    pub(crate) fn turned(&mut self, leads: bool, now: Duration, setup: &Setup) {
        self.given = leads.then(|| Given::new(setup.times, setup.members.clone(), now));
        (self.pushed, self.news) = (0, true);
        self.push.clear();
        self.unfit.clear();
    }

    /// Whether a member has said that it can't act on the step of this epoch.
    pub(crate) fn is_unfit(&self, name: &Name, epoch: u64) -> bool {
        self.unfit.get(name).is_some_and(|(of, _)| *of == epoch)
    }

    /// Who can't act on the step of this epoch, in words.
    pub(crate) fn unfit(&self, epoch: u64) -> Option<String> {
        let unfit = self.unfit.iter().filter(|(_, (of, _))| *of == epoch);
        let words: Vec<String> =
            unfit.map(|(name, (_, why))| format!("{name} can't act on it: {why}")).collect();
        (!words.is_empty()).then(|| words.join("; "))
    }

    /// Times run out without a word: it is looked at anew.
    pub(crate) fn due(&mut self) {
        self.news = true;
    }

    /// What does not fit is lost, as on a way.
    pub(crate) fn hear_of_common(&self, from: &Name, body: &Bytes) {
        let topic = Topic::ALL.into_iter().find(|topic| body.first() == Some(&topic.apart()));
        if let Some(tells) = topic.and_then(|topic| self.tells.get(&topic)) {
            let _ = tells.heard.try_send((from.clone(), body.slice(1..)));
        }
    }

    pub(crate) fn told(&self, topic: Topic) -> &watch::Sender<Standing> {
        &self.tells[&topic].standing
    }
}

impl Runner {
    pub(crate) fn tell_of_common(&self, topic: Topic, to: Name, body: &[u8]) {
        let body = [&[topic.apart()], body].concat().into();
        // What does not fit is lost, as on a way.
        let _ = self.say.try_send((to, Message { topic: PLACES, body }));
    }

    /// A member says by which common document it acts.
    pub(crate) fn acted(&mut self, from: &Name, acts: Option<u64>, has: u64, unfit: Option<(u64, String)>) {
        let share = &mut self.share;
        let Some(given) = &mut share.given else { return };
        share.news |= given.heard(from, acts, has);
        match unfit {
            Some(unfit) if self.setup.members.contains(from) => drop(share.unfit.insert(from.clone(), unfit)),
            _ => drop(share.unfit.remove(from)),
        }
    }

    /// A lease of versions was granted: one on the common document goes with it.
    pub(crate) fn grant_common(&mut self, to: &Name, request: u64) {
        let now = self.now();
        let Part::Voting { voter, .. } = &self.part else { return };
        let document = voter.steps().common.clone();
        let Some((_, has)) = self.share.given.as_ref().and_then(|given| given.of(to)) else { return };
        let lacks = has < document.number;
        if lacks && *to != self.setup.own && !self.may_tell_bytes(document.body.len()) {
            return;
        }
        if let Some(given) = &mut self.share.given {
            given.grant(now, to);
        }
        let own = *to == self.setup.own;
        if own {
            let body = Some(document.body);
            return self.took(to.clone(), Some(request), document.number, body);
        }
        let body = lacks.then(|| document.body.to_vec());
        self.tell(to, &Say::Common { request: Some(request), number: document.number, body });
    }

    pub(crate) fn told_common(
        &mut self,
        from: &Name,
        request: Option<u64>,
        number: u64,
        body: Option<Vec<u8>>,
    ) {
        if request.is_some() {
            self.leader = Some(from.clone());
        }
        self.took(from.clone(), request, number, body.map(Arc::from));
    }

    fn took(&mut self, from: Name, request: Option<u64>, number: u64, body: Option<Arc<[u8]>>) {
        let before = self.share.holding.until();
        let news = self.share.holding.granted(request, number, body);
        if self.share.holding.until() != before {
            self.share.news |= before.is_none_or(|before| before <= self.now());
            self.share.granted_by = Some(from);
        }
        self.share.news |= news;
    }

    /// Tells those that hold a lease of a document that is new to them, as many as may be at once.
    pub(crate) fn push_common(&mut self) {
        let now = self.now();
        let Part::Voting { voter, .. } = &self.part else { return };
        if !voter.knows() {
            return;
        }
        let (number, body) = (voter.steps().common.number, Arc::clone(&voter.steps().common.body));
        let Some(given) = &self.share.given else { return };
        if number > self.share.pushed {
            self.share.push = given.lack(now, number);
            (self.share.pushed, self.share.news) = (number, true);
            if self.share.push.remove(&self.setup.own) {
                self.took(self.setup.own.clone(), None, number, Some(Arc::clone(&body)));
            }
        }
        let mut to = BTreeSet::new();
        while !self.share.push.is_empty() && self.may_tell_bytes(body.len()) {
            to.extend(self.share.push.pop_first());
        }
        if !to.is_empty() {
            self.tell_all(&to, &Say::Common { request: None, number, body: Some(body.to_vec()) });
        }
    }

    /// Whoever makes a part of the common document wants this one to be in force. One is under way at a time; that of another
    /// part waits for it.
    pub(crate) fn put_common(&mut self, topic: Topic, put: Put) {
        if self.puts() {
            if self.putting == Some(topic) || self.share.next.is_some() {
                return drop(put.done.send(Err("another one is under way".into())));
            }
            self.share.next = Some((topic, put));
            return;
        }
        match self.may_put(topic, put.expect, put.body.len()) {
            Ok((expect, shelf)) => {
                let body = shelf.with(topic, expect + 1, put.body).encode();
                self.putting = Some(topic);
                self.put(Command::Common { expect, body }, Wisher::Put(put.done));
            }
            // It may have given up.
            Err(why) => drop(put.done.send(Err(why))),
        }
    }

    fn puts(&self) -> bool {
        self.proposals.values().any(|wisher| matches!(wisher, Wisher::Put(_)))
    }

    /// The put that has waited for another part's, once that has ended.
    pub(crate) fn put_next(&mut self) {
        if !self.puts()
            && let Some((topic, put)) = self.share.next.take()
        {
            self.put_common(topic, put);
        }
    }

    /// A leader puts on what is in force alone: on that rests whoever lacks a part of the log. The number in force, and what lies
    /// there.
    fn may_put(&self, topic: Topic, expect: u64, long: usize) -> Result<(u64, Shelf), String> {
        let leads = match &self.part {
            Part::Voting { voter, .. } if voter.knows() => {
                self.share.given.as_ref().map(|given| (voter, given))
            }
            _ => None,
        };
        let Some((voter, given)) = leads else {
            return Err(match self.known_leader().filter(|leader| *leader != self.setup.own) {
                Some(leader) => format!("{leader} leads"),
                None => "nobody leads: a majority of the voters can't be reached from here".into(),
            });
        };
        let document = &voter.steps().common;
        let (mut number, mut known, mut body) = (document.number, document.number, &document.body);
        if document.gap {
            if !given.alone(self.now()) {
                return Err("this voter's log may lack some: it waits to hear by which the others act".into());
            }
            // All parts go on from the newest that is known here.
            let (told, newest) = self.share.holding.newest();
            if told > number {
                (known, body) = (told, newest);
            }
            number = number.max(given.highest());
        }
        let shelf = Shelf::decode(body).ok_or("what is in force was written by another program")?;
        // What nobody here knows may be of any part.
        let in_force = if known < number { number } else { shelf.number(topic) };
        if expect != in_force {
            return Err(format!("common document {in_force} is in force"));
        }
        if long > PART_MOST {
            return Err(format!("it is longer than {PART_MOST} bytes"));
        }
        Ok((number, shelf))
    }
}

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

use crate::document_parts::{DocumentParts, MAX_PART_BYTES, PartKind};
use crate::messages::PeerMessage;
use crate::runner::{Requester, Runner, VoterRole};
use crate::service::ConsensusConfig;
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_transport::frames::Message;
use maplehook_versions::lease_manager::LeaseTimes;
use maplehook_versions::shared_document::{DocumentLeaseHolder, DocumentLeaseManager};
use maplehook_versions::version_state::Command;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// The topic of what makers of the common document say to one another.
pub const SHARED_DOCUMENT_TOPIC: u8 = 4;
/// Messages of that topic that may wait, and puts.
const WAITING: usize = 256;
const PUTS: usize = 4;

/// A part's body that was agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentPart {
    /// Its number: each later one is higher, from 1 on.
    pub number: u64,
    /// Its bytes.
    pub body: Arc<[u8]>,
}

/// A member that may still act on an earlier body than the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingMember {
    /// Its name.
    pub name: Name,
    /// For how long at the most, by the leader's clock, with what clocks may differ by.
    pub max_remaining: Duration,
}

/// How it stands with the common document here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedDocumentStatus {
    /// The newest that this member was told.
    pub received: Option<DocumentPart>,
    /// Until when it may be acted on; `None`: there was no lease yet.
    pub lease_end: Option<Instant>,
    /// Whom this one takes for the leader.
    pub leader: Option<Name>,
    /// This one leads, and a majority has said so within a lease.
    pub is_leader: bool,
    /// At a voter: what stands in the log as it knows it; the leader goes on from it.
    pub committed: Option<DocumentPart>,
    /// At the leader: who may still act on an earlier body than the newest.
    pub lagging_members: Vec<LaggingMember>,
    /// The longest that a lease can last by the leader's clock.
    pub max_lease: Duration,
    /// At the leader: who holds a lease, and the number that it said it acts on; `None`: its program knows no common document.
    pub members: Vec<(Name, Option<u64>)>,
}

/// A body that is to take the place of a part's in force.
#[derive(Debug)]
pub struct PartProposal {
    /// The number at which the part has to have changed last.
    pub expected: u64,
    /// The body, at most 256 KiB.
    pub body: Vec<u8>,
    /// Its number, once it is agreed on; or why it is not, or may not be.
    pub outcome: oneshot::Sender<Result<u64, String>>,
}

/// The ways of whoever makes a part of the common document.
#[derive(Debug)]
pub struct PartChannels {
    /// What it says to its like; the topic is set to [`PLACES`].
    pub outgoing: mpsc::Sender<(Name, Message)>,
    /// What they say.
    pub incoming: mpsc::Receiver<(Name, Bytes)>,
    /// What is to be agreed on.
    pub proposals: mpsc::Sender<PartProposal>,
}

/// The other ends of these ways.
pub(crate) struct PartReceivers {
    pub(crate) outgoing: mpsc::Receiver<(Name, Message)>,
    pub(crate) proposals: mpsc::Receiver<PartProposal>,
}

pub(crate) struct PartSenders {
    incoming: mpsc::Sender<(Name, Bytes)>,
    status: watch::Sender<SharedDocumentStatus>,
}

pub(crate) struct PartEndpoints {
    pub(crate) receivers: PartReceivers,
    pub(crate) senders: PartSenders,
}

pub(crate) fn part_channels() -> (PartChannels, watch::Receiver<SharedDocumentStatus>, PartEndpoints) {
    let ((say, said), (tell, heard)) = (mpsc::channel(WAITING), mpsc::channel(WAITING));
    let ((put, puts), (standing, stands)) =
        (mpsc::channel(PUTS), watch::channel(SharedDocumentStatus::default()));
    let tells = PartSenders { incoming: tell, status: standing };
    (
        PartChannels { outgoing: say, incoming: heard, proposals: put },
        stands,
        PartEndpoints { receivers: PartReceivers { outgoing: said, proposals: puts }, senders: tells },
    )
}

/// A balancer's part in the common document.
pub(crate) struct SharedDocumentState {
    pub(crate) holder: DocumentLeaseHolder,
    /// The number that is acted on here.
    pub(crate) active_number: Option<u64>,
    pub(crate) lease_manager: Option<DocumentLeaseManager>,
    /// The newest number that was pushed, and to whom it is still to be.
    pushed_number: u64,
    push_targets: BTreeSet<Name>,
    /// Who granted the last lease.
    pub(crate) granted_by: Option<Name>,
    /// Members that can't act on a step, since when they said so.
    rejected_phases: BTreeMap<Name, (u64, String)>,
    pub(crate) has_changed: bool,
    senders: BTreeMap<PartKind, PartSenders>,
    /// A put for which another part's makes way first.
    queued_proposal: Option<(PartKind, PartProposal)>,
}

impl SharedDocumentState {
    pub(crate) fn new(times: LeaseTimes, tells: BTreeMap<PartKind, PartSenders>) -> Self {
        Self {
            holder: DocumentLeaseHolder::new(times),
            active_number: Some(0),
            lease_manager: None,
            pushed_number: 0,
            push_targets: BTreeSet::new(),
            granted_by: None,
            rejected_phases: BTreeMap::new(),
            has_changed: true,
            senders: tells,
            queued_proposal: None,
        }
    }

    /// This voter leads, or no more.
    pub(crate) fn on_role_change(&mut self, leads: bool, now: Duration, setup: &ConsensusConfig) {
        self.lease_manager =
            leads.then(|| DocumentLeaseManager::new(setup.lease_times, setup.members.clone(), now));
        (self.pushed_number, self.has_changed) = (0, true);
        self.push_targets.clear();
        self.rejected_phases.clear();
    }

    /// Whether a member has said that it can't act on the step of this epoch.
    pub(crate) fn has_rejected(&self, name: &Name, epoch: u64) -> bool {
        self.rejected_phases.get(name).is_some_and(|(of, _)| *of == epoch)
    }

    /// Who can't act on the step of this epoch, in words.
    pub(crate) fn describe_rejections(&self, epoch: u64) -> Option<String> {
        let unfit = self.rejected_phases.iter().filter(|(_, (of, _))| *of == epoch);
        let words: Vec<String> =
            unfit.map(|(name, (_, why))| format!("{name} can't act on it: {why}")).collect();
        (!words.is_empty()).then(|| words.join("; "))
    }

    /// Times run out without a word: it is looked at anew.
    pub(crate) fn refresh_status(&mut self) {
        self.has_changed = true;
    }

    /// What does not fit is lost, as on a way.
    pub(crate) fn deliver(&self, from: &Name, body: &Bytes) {
        let topic = PartKind::ALL.into_iter().find(|topic| body.first() == Some(&topic.message_prefix()));
        if let Some(tells) = topic.and_then(|topic| self.senders.get(&topic)) {
            let _ = tells.incoming.try_send((from.clone(), body.slice(1..)));
        }
    }

    pub(crate) fn status_sender(&self, topic: PartKind) -> &watch::Sender<SharedDocumentStatus> {
        &self.senders[&topic].status
    }
}

impl Runner {
    pub(crate) fn send_part_message(&self, topic: PartKind, to: Name, body: &[u8]) {
        let body = [&[topic.message_prefix()], body].concat().into();
        // What does not fit is lost, as on a way.
        let _ = self.say.try_send((to, Message { topic: SHARED_DOCUMENT_TOPIC, body }));
    }

    /// A member says by which common document it acts.
    pub(crate) fn on_document_report(
        &mut self,
        from: &Name,
        acts: Option<u64>,
        has: u64,
        unfit: Option<(u64, String)>,
    ) {
        let share = &mut self.share;
        let Some(given) = &mut share.lease_manager else { return };
        share.has_changed |= given.record_report(from, acts, has);
        match unfit {
            Some(unfit) if self.setup.members.contains(from) => {
                drop(share.rejected_phases.insert(from.clone(), unfit))
            }
            _ => drop(share.rejected_phases.remove(from)),
        }
    }

    /// A lease of versions was granted: one on the common document goes with it.
    pub(crate) fn grant_document_lease(&mut self, to: &Name, request: u64) {
        let now = self.now();
        let VoterRole::Voting { voter, .. } = &self.part else { return };
        let document = voter.version_state().shared_document.clone();
        let Some((_, has)) = self.share.lease_manager.as_ref().and_then(|given| given.reported_numbers(to))
        else {
            return;
        };
        let lacks = has < document.number;
        if lacks && *to != self.setup.local_name && !self.may_tell_bytes(document.body.len()) {
            return;
        }
        if let Some(given) = &mut self.share.lease_manager {
            given.grant(now, to);
        }
        let own = *to == self.setup.local_name;
        if own {
            let body = Some(document.body);
            return self.accept_document(to.clone(), Some(request), document.number, body);
        }
        let body = lacks.then(|| document.body.to_vec());
        self.tell(to, &PeerMessage::Document { request: Some(request), number: document.number, body });
    }

    pub(crate) fn on_document(
        &mut self,
        from: &Name,
        request: Option<u64>,
        number: u64,
        body: Option<Vec<u8>>,
    ) {
        if request.is_some() {
            self.leader = Some(from.clone());
        }
        self.accept_document(from.clone(), request, number, body.map(Arc::from));
    }

    fn accept_document(&mut self, from: Name, request: Option<u64>, number: u64, body: Option<Arc<[u8]>>) {
        let before = self.share.holder.lease_end();
        let news = self.share.holder.accept_grant(request, number, body);
        if self.share.holder.lease_end() != before {
            self.share.has_changed |= before.is_none_or(|before| before <= self.now());
            self.share.granted_by = Some(from);
        }
        self.share.has_changed |= news;
    }

    /// Tells those that hold a lease of a document that is new to them, as many as may be at once.
    pub(crate) fn push_document(&mut self) {
        let now = self.now();
        let VoterRole::Voting { voter, .. } = &self.part else { return };
        if !voter.is_established_leader() {
            return;
        }
        let (number, body) = (
            voter.version_state().shared_document.number,
            Arc::clone(&voter.version_state().shared_document.body),
        );
        let Some(given) = &self.share.lease_manager else { return };
        if number > self.share.pushed_number {
            self.share.push_targets = given.holders_without(now, number);
            (self.share.pushed_number, self.share.has_changed) = (number, true);
            if self.share.push_targets.remove(&self.setup.local_name) {
                self.accept_document(self.setup.local_name.clone(), None, number, Some(Arc::clone(&body)));
            }
        }
        let mut to = BTreeSet::new();
        while !self.share.push_targets.is_empty() && self.may_tell_bytes(body.len()) {
            to.extend(self.share.push_targets.pop_first());
        }
        if !to.is_empty() {
            self.tell_all(&to, &PeerMessage::Document { request: None, number, body: Some(body.to_vec()) });
        }
    }

    /// Whoever makes a part of the common document wants this one to be in force. One is under way at a time; that of another
    /// part waits for it.
    pub(crate) fn propose_part(&mut self, topic: PartKind, put: PartProposal) {
        if self.has_part_proposal() {
            if self.putting == Some(topic) || self.share.queued_proposal.is_some() {
                return drop(put.outcome.send(Err("another one is under way".into())));
            }
            self.share.queued_proposal = Some((topic, put));
            return;
        }
        match self.base_for_part(topic, put.expected, put.body.len()) {
            Ok((expect, shelf)) => {
                let body = shelf.with(topic, expect + 1, put.body).encode();
                self.putting = Some(topic);
                self.put(Command::ReplaceDocument { expected: expect, body }, Requester::Put(put.outcome));
            }
            // It may have given up.
            Err(why) => drop(put.outcome.send(Err(why))),
        }
    }

    fn has_part_proposal(&self) -> bool {
        self.proposals.values().any(|wisher| matches!(wisher, Requester::Put(_)))
    }

    /// The put that has waited for another part's, once that has ended.
    pub(crate) fn propose_queued_part(&mut self) {
        if !self.has_part_proposal()
            && let Some((topic, put)) = self.share.queued_proposal.take()
        {
            self.propose_part(topic, put);
        }
    }

    /// A leader puts on what is in force alone: on that rests whoever lacks a part of the log. The number in force, and what lies
    /// there.
    fn base_for_part(
        &self,
        topic: PartKind,
        expect: u64,
        long: usize,
    ) -> Result<(u64, DocumentParts), String> {
        let leads = match &self.part {
            VoterRole::Voting { voter, .. } if voter.is_established_leader() => {
                self.share.lease_manager.as_ref().map(|given| (voter, given))
            }
            _ => None,
        };
        let Some((voter, given)) = leads else {
            return Err(match self.known_leader().filter(|leader| *leader != self.setup.local_name) {
                Some(leader) => format!("{leader} leads"),
                None => "nobody leads: a majority of the voters can't be reached from here".into(),
            });
        };
        let document = &voter.version_state().shared_document;
        let (mut number, mut known, mut body) = (document.number, document.number, &document.body);
        if document.has_gap {
            if !given.have_earlier_leases_expired(self.now()) {
                return Err("this voter's log may lack some: it waits to hear by which the others act".into());
            }
            // All parts go on from the newest that is known here.
            let (told, newest) = self.share.holder.newest();
            if told > number {
                (known, body) = (told, newest);
            }
            number = number.max(given.highest_reported());
        }
        let shelf = DocumentParts::decode(body).ok_or("what is in force was written by another program")?;
        // What nobody here knows may be of any part.
        let in_force = if known < number { number } else { shelf.number(topic) };
        if expect != in_force {
            return Err(format!("common document {in_force} is in force"));
        }
        if long > MAX_PART_BYTES {
            return Err(format!("it is longer than {MAX_PART_BYTES} bytes"));
        }
        Ok((number, shelf))
    }
}

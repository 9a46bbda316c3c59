//! The thread on which a balancer agrees with others on what they share.
//!
//! It has a lease renewed, hears of steps, and tells the thread that serves by what to act ([`Acting`]); that one says what it has
//! come to act on, and only then do the others hear of it. A voter's part runs here too: its disk may be slow, and no request
//! waits for it.

use crate::active_version::{ActiveVersion, LocalStatus};
use crate::document_parts::PartKind;
use crate::messages::{AdminReply, PeerMessage, RAFT_TOPIC, VERSIONS_TOPIC};
use crate::service::{AdminCall, ConsensusConfig};
use crate::shared_document::{PartReceivers, PartSenders, SharedDocumentState};
use crate::store::Store;
use crate::validation::ProposalValidation;
use crate::voter::{ProposalOutcome, Voter};
use maplehook_cluster::Name;
use maplehook_config::Proxy;
use maplehook_transport::frames::Message;
use maplehook_versions::lease_holder::LeaseHolder;
use maplehook_versions::lease_manager::LeaseManager;
use maplehook_versions::version_state::digest;
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
pub(crate) enum Requester {
    Here(oneshot::Sender<(LocalStatus, AdminReply)>),
    There(Name, u64),
    /// Whoever makes the common document.
    Put(oneshot::Sender<Result<u64, String>>),
    Nobody,
}

/// A voter's part.
pub(crate) enum VoterRole {
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
        grants: Option<LeaseManager>,
    },
    /// It must not vote.
    Out(String),
}

/// A member that is asked to take a voter's place.
pub(crate) struct VoterReplacement {
    pub(crate) old: Name,
    pub(crate) new: Name,
    pub(crate) wisher: Requester,
    pub(crate) until: Instant,
}

/// What waits for the others' word that this voter leads.
pub(crate) enum PendingRead {
    Lease {
        from: Name,
        number: u64,
        epoch: u64,
        has: u64,
    },
    Status(Requester),
    /// Whether this one votes, who speaks as if it did.
    Voter(Name),
}

pub(crate) struct Runner {
    pub(crate) setup: ConsensusConfig,
    /// The own file's shared part.
    pub(crate) shared: String,
    pub(crate) digest: String,
    pub(crate) own: Arc<Proxy>,
    pub(crate) say: mpsc::Sender<(Name, Message)>,
    pub(crate) acting: watch::Sender<ActiveVersion>,
    pub(crate) epoch: Instant,
    pub(crate) holder: LeaseHolder,
    pub(crate) applied: u64,
    /// What the last texts come to here, by their digests: a long one is not read again at each step.
    pub(crate) read: VecDeque<(String, Arc<Proxy>)>,
    /// A step whose texts can't be acted on here is not acted on.
    pub(crate) unfit: Option<String>,
    pub(crate) leader: Option<Name>,
    pub(crate) next_voter: usize,
    pub(crate) part: VoterRole,
    pub(crate) readings: BTreeMap<u64, PendingRead>,
    pub(crate) proposals: BTreeMap<u64, Requester>,
    pub(crate) passed_on: BTreeMap<u64, (Requester, Instant)>,
    pub(crate) checks: BTreeMap<u64, ProposalValidation>,
    pub(crate) seats: BTreeMap<u64, VoterReplacement>,
    /// Bytes of texts that were told since, and since when: what a leader holds for many that are slow stays bounded.
    pub(crate) texts_told: (usize, Instant),
    pub(crate) advancing: Option<u64>,
    pub(crate) digests: BTreeMap<Name, (String, Instant)>,
    /// Its part in the common document.
    pub(crate) share: SharedDocumentState,
    /// Whose part of it the put is of that is under way, or was the last.
    pub(crate) putting: Option<PartKind>,
}

/// All that comes to the thread.
pub(crate) struct Inputs {
    pub(crate) heard: mpsc::Receiver<(Name, Message)>,
    pub(crate) applies: watch::Receiver<u64>,
    pub(crate) acts: watch::Receiver<u64>,
    pub(crate) asked: mpsc::Receiver<AdminCall>,
    pub(crate) places: PartReceivers,
    pub(crate) rollout: PartReceivers,
    pub(crate) stopped: oneshot::Receiver<()>,
}

/// Takes out those of which something holds.
fn take_where<T>(of: &mut BTreeMap<u64, T>, mut holds: impl FnMut(&T) -> bool) -> Vec<T> {
    let tickets: Vec<u64> = of.iter().filter(|(_, one)| holds(one)).map(|(ticket, _)| *ticket).collect();
    tickets.into_iter().filter_map(|ticket| of.remove(&ticket)).collect()
}

impl Runner {
    pub(crate) fn new(
        setup: ConsensusConfig,
        shared: String,
        own: Arc<Proxy>,
        say: mpsc::Sender<(Name, Message)>,
        acting: watch::Sender<ActiveVersion>,
        tells: BTreeMap<PartKind, PartSenders>,
    ) -> Self {
        let share = SharedDocumentState::new(setup.lease_times, tells);
        let holder = LeaseHolder::new(setup.lease_times, setup.expiry_policy);
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
            part: VoterRole::None,
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
        if has_voted || runner.setup.voters.contains(&runner.setup.local_name) {
            runner.open();
        }
        runner
    }

    pub(crate) fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    pub(crate) async fn run(mut self, ears: Inputs) {
        let Inputs { mut heard, mut applies, mut acts, mut asked, mut places, mut rollout, mut stopped } =
            ears;
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
                    self.share.active_number = self.share.active_number.map(|_| number);
                    self.ask_for_a_lease();
                }
                Some((op, reply)) = asked.recv() => self.wish(op, Requester::Here(reply)),
                put = places.proposals.recv(), if self.share.active_number.is_some() => match put {
                    Some(put) => self.propose_part(PartKind::Failover, put),
                    // Nobody makes it here: it has no part.
                    None => self.share.active_number = None,
                },
                Some((to, message)) = places.outgoing.recv() => self.send_part_message(PartKind::Failover, to, &message.body),
                Some(put) = rollout.proposals.recv() => self.propose_part(PartKind::Rollout, put),
                Some((to, message)) = rollout.outgoing.recv() => self.send_part_message(PartKind::Rollout, to, &message.body),
            }
            self.settle();
            self.propose_queued_part();
            self.push_document();
            self.stand();
        }
    }

    pub(crate) fn tell(&self, to: &Name, say: &PeerMessage) {
        if let Ok(body) = postcard::to_stdvec(say) {
            // What does not fit is said again, or was not needed.
            let _ = self.say.try_send((to.clone(), Message { topic: VERSIONS_TOPIC, body: body.into() }));
        }
    }

    /// The same to several: its bytes are there once.
    pub(crate) fn tell_all(&self, to: &BTreeSet<Name>, say: &PeerMessage) {
        let Ok(body) = postcard::to_stdvec(say) else { return };
        let body = bytes::Bytes::from(body);
        for name in to {
            // What does not fit is said again, or was not needed.
            let _ = self.say.try_send((name.clone(), Message { topic: VERSIONS_TOPIC, body: body.clone() }));
        }
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = Name> {
        let own = self.setup.local_name.clone();
        self.setup.voters.clone().into_iter().filter(move |name| *name != own)
    }

    pub(crate) fn tick(&mut self) {
        if let VoterRole::Voting { voter, .. } = &mut self.part {
            voter.tick();
        }
        self.found();
        if self.now() >= self.holder.renewal_due() {
            self.ask_for_a_lease();
        }
        let now = Instant::now();
        for (wisher, _) in take_where(&mut self.passed_on, |(_, until)| *until <= now) {
            self.end(
                wisher,
                AdminReply::Unavailable("the leader does not answer; it may be done or not".into()),
            );
        }
        self.look_at_all();
        for VoterReplacement { new, wisher, .. } in
            take_where(&mut self.seats, |seating| seating.until <= now)
        {
            self.end(wisher, AdminReply::Unavailable(format!("{new} does not answer")));
        }
        self.lead();
        self.share.refresh_status();
    }

    pub(crate) fn end(&self, wisher: Requester, reply: AdminReply) {
        match wisher {
            // It may have given up.
            Requester::Here(to) => drop(to.send((self.local_status(), reply))),
            Requester::There(name, ticket) => {
                self.tell(&name, &PeerMessage::ForwardedReply { ticket, reply })
            }
            Requester::Put(to) => drop(to.send(match reply {
                AdminReply::Done(number) => Ok(number),
                AdminReply::Rejected(why) | AdminReply::Unavailable(why) => Err(why),
                _ => Err("it has no such end".into()),
            })),
            Requester::Nobody => {}
        }
    }

    /// Does what follows from what has come.
    pub(crate) fn settle(&mut self) {
        let VoterRole::Voting { voter, store, grants } = &mut self.part else { return };
        let settled = voter.process_ready(&mut |batch| store.write(batch));
        let leads = voter.is_leader();
        let settled = match settled {
            Ok(settled) => settled,
            Err(e) => {
                tracing::error!(
                    "this voter's log can't be written: {e}; it takes no part in votes until its next start"
                );
                self.part = VoterRole::Out(e.to_string());
                self.advancing = None;
                self.readings.clear();
                self.check_no_more("this voter's disk fails");
                for (_, wisher) in std::mem::take(&mut self.proposals) {
                    self.end(
                        wisher,
                        AdminReply::Unavailable("this voter's disk fails; it may be done or not".into()),
                    );
                }
                return;
            }
        };
        if settled.role_changed {
            let now = self.epoch.elapsed();
            *grants = leads.then(|| {
                LeaseManager::new(
                    self.setup.lease_times,
                    self.setup.expiry_policy,
                    self.setup.members.clone(),
                    now,
                )
            });
            self.digests.clear();
            self.advancing = None;
            self.share.on_role_change(leads, now, &self.setup);
            tracing::info!(leads, "leads the voters, or no more");
            let readings = std::mem::take(&mut self.readings);
            for reading in readings.into_values() {
                if let PendingRead::Status(wisher) = reading {
                    self.end(wisher, AdminReply::Unavailable("the leader has changed".into()));
                }
            }
            self.check_no_more("the leader has changed");
        }
        if let VoterRole::Voting { voter, .. } = &self.part
            && voter.is_replaced()
        {
            return self.unseated();
        }
        for (to, bytes) in settled.messages {
            if let VoterRole::Voting { voter, .. } = &self.part
                && let Some(name) = voter.name_of(to)
            {
                // What is lost Raft says again.
                let _ = self.say.try_send((name, Message { topic: RAFT_TOPIC, body: bytes.into() }));
            }
        }
        for ticket in settled.confirmed_reads {
            self.confirmed(ticket);
        }
        for (ticket, ended) in settled.outcomes {
            if self.advancing == Some(ticket) {
                self.advancing = None;
            }
            let Some(wisher) = self.proposals.remove(&ticket) else { continue };
            let reply = match ended {
                ProposalOutcome::Applied(Ok(number)) => AdminReply::Done(number),
                ProposalOutcome::Applied(Err(refused)) => AdminReply::Rejected(refused.to_string()),
                ProposalOutcome::Unknown => {
                    AdminReply::Unavailable("the leader has changed; it may be done or not".into())
                }
            };
            self.end(wisher, reply);
        }
    }
}

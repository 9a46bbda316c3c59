//! The state of the consensus thread, with the parts of it that other modules share.
//!
//! The thread renews the member's lease, learns of new phases, and publishes the [`ActiveVersion`] for the thread that serves
//! requests. That thread reports the epoch that it has come to act on, and only then do the other members learn of it. A voter runs
//! on the same thread: its disk may be slow, and no request waits for it.

use crate::active_version::ActiveVersion;
use crate::admin::LocalStatus;
use crate::config::ConsensusConfig;
use crate::document_parts::PartKind;
use crate::document_state::SharedDocumentState;
use crate::error::{ProposalError, RulesError};
use crate::messages::{AdminReply, PeerMessage, VERSIONS_TOPIC};
use crate::part_channels::PartSenders;
use crate::rules::RulesCache;
use crate::send_budget::SendBudget;
use crate::store::Store;
use crate::voter::Voter;
use maplehook_cluster::Name;
use maplehook_config::Proxy;
use maplehook_transport::frames::Message;
use maplehook_versions::{LeaseHolder, LeaseManager, digest};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// How long a member may take to validate a proposal, or to reply to a request for its voter number.
pub(crate) const VALIDATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Who receives the outcome of a request.
pub(crate) enum Requester {
    /// An operator at this member.
    Local(oneshot::Sender<(LocalStatus, AdminReply)>),
    /// An operator at another member, with the ticket of the forwarded request.
    Remote(Name, u64),
    /// The proposer of a part of the shared document.
    PartProposer(oneshot::Sender<Result<u64, ProposalError>>),
    /// The leader itself; nobody is notified.
    Internal,
}

/// The part that this member takes in the consensus.
pub(crate) enum VoterRole {
    /// The member does not vote.
    NonVoter,
    /// The voter has no log yet, and asks the other voters whether they have one.
    Bootstrapping {
        /// The number by which this voter is known until there is a log.
        number: u64,
        /// The numbers of the other voters without a log.
        reported: BTreeMap<Name, u64>,
        /// The time of the latest request to the other voters.
        asked_at: Option<Instant>,
    },
    /// The member votes.
    Voting {
        voter: Box<Voter>,
        store: Store,
        /// On the leader: the leases that it has granted.
        lease_manager: Option<LeaseManager>,
    },
    /// The member must not vote, for this reason.
    Disabled(String),
}

/// A voter that is to be replaced by a member whose voter number is not known yet.
pub(crate) struct VoterReplacement {
    pub(crate) old: Name,
    pub(crate) new: Name,
    pub(crate) requester: Requester,
    pub(crate) deadline: Instant,
}

/// A proposed version that the members validate.
pub(crate) struct ProposalValidation {
    pub(crate) text: String,
    pub(crate) digest: String,
    pub(crate) expected: Option<u64>,
    pub(crate) requester: Requester,
    /// The members that were asked.
    pub(crate) asked: BTreeSet<Name>,
    /// The members among them that have not answered.
    pub(crate) unanswered: BTreeSet<Name>,
    /// Before this time members without a lease may still be parsing the text.
    pub(crate) earliest_end: Instant,
    pub(crate) deadline: Instant,
}

/// A member's request for a lease.
pub(crate) struct LeaseRequest {
    pub(crate) from: Name,
    pub(crate) request_id: u64,
    /// The epoch that the member acts on.
    pub(crate) epoch: u64,
    /// The epoch whose texts the member has.
    pub(crate) received_epoch: u64,
}

/// What is answered once a majority has confirmed that this voter is still the leader.
pub(crate) enum PendingRead {
    /// A request for a lease.
    Lease(LeaseRequest),
    /// A request for the status of the cluster.
    Status(Requester),
    /// Whether this member, which sends messages as a voter, still is one.
    FormerVoter(Name),
}

/// The state of the consensus thread.
pub(crate) struct Runner {
    pub(crate) config: ConsensusConfig,
    /// The part of the member's own file that versions replace.
    pub(crate) shared_text: String,
    pub(crate) file_digest: String,
    /// The rules of the member's own file.
    pub(crate) file_rules: Arc<Proxy>,
    pub(crate) outgoing: mpsc::Sender<(Name, Message)>,
    pub(crate) active_version: watch::Sender<ActiveVersion>,
    pub(crate) started_at: Instant,
    pub(crate) lease_holder: LeaseHolder,
    /// The epoch that the thread that serves requests acts on.
    pub(crate) applied_epoch: u64,
    pub(crate) rules_cache: RulesCache,
    /// Why this member can't apply the phase that it was told. It keeps acting on the previous one.
    pub(crate) phase_error: Option<RulesError>,
    /// The leader by the word of other members.
    pub(crate) leader_hint: Option<Name>,
    /// Counts the members that were asked for a lease while no leader was known.
    pub(crate) next_voter: usize,
    pub(crate) role: VoterRole,
    pub(crate) pending_reads: BTreeMap<u64, PendingRead>,
    pub(crate) pending_proposals: BTreeMap<u64, Requester>,
    /// Requests that were forwarded to the leader, with their deadlines.
    pub(crate) forwarded_requests: BTreeMap<u64, (Requester, Instant)>,
    pub(crate) validations: BTreeMap<u64, ProposalValidation>,
    pub(crate) replacements: BTreeMap<u64, VoterReplacement>,
    pub(crate) send_budget: SendBudget,
    /// The ticket of the leader's own proposal, if it waits for one.
    pub(crate) phase_proposal: Option<u64>,
    /// The digests of the members' files, with the times at which they were reported.
    pub(crate) file_digests: BTreeMap<Name, (String, Instant)>,
    pub(crate) shared_document: SharedDocumentState,
    /// The part whose proposal is under way, or was the last.
    pub(crate) proposing_part: Option<PartKind>,
}

/// Removes and returns the values for which a condition holds.
pub(crate) fn take_where<T>(pending: &mut BTreeMap<u64, T>, mut condition: impl FnMut(&T) -> bool) -> Vec<T> {
    let tickets: Vec<u64> =
        pending.iter().filter(|(_, value)| condition(value)).map(|(ticket, _)| *ticket).collect();
    tickets.into_iter().filter_map(|ticket| pending.remove(&ticket)).collect()
}

impl Runner {
    /// Creates the state of a member that does not vote yet.
    pub(crate) fn new(
        config: ConsensusConfig,
        shared_text: String,
        file_rules: Arc<Proxy>,
        outgoing: mpsc::Sender<(Name, Message)>,
        active_version: watch::Sender<ActiveVersion>,
        part_senders: BTreeMap<PartKind, PartSenders>,
    ) -> Self {
        Self {
            lease_holder: LeaseHolder::new(config.lease_times, config.expiry_policy),
            shared_document: SharedDocumentState::new(config.lease_times, part_senders),
            file_digest: digest(&shared_text),
            config,
            shared_text,
            file_rules,
            outgoing,
            active_version,
            started_at: Instant::now(),
            applied_epoch: 0,
            rules_cache: RulesCache::default(),
            phase_error: None,
            leader_hint: None,
            next_voter: 0,
            role: VoterRole::NonVoter,
            pending_reads: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            forwarded_requests: BTreeMap::new(),
            validations: BTreeMap::new(),
            replacements: BTreeMap::new(),
            send_budget: SendBudget::new(),
            phase_proposal: None,
            file_digests: BTreeMap::new(),
            proposing_part: None,
        }
    }

    /// Returns the time since the thread started, which all leases are reckoned in.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Sends a message to a member. It is dropped if the queue is full: whatever still matters is sent again.
    pub(crate) fn send(&self, to: &Name, message: &PeerMessage) {
        if let Ok(body) = postcard::to_stdvec(message) {
            let message = Message { topic: VERSIONS_TOPIC, body: body.into() };
            let _ = self.outgoing.try_send((to.clone(), message));
        }
    }

    /// Sends the same message to several members, which share its bytes. It is dropped for those whose queue is full.
    pub(crate) fn send_to_all(&self, recipients: &BTreeSet<Name>, message: &PeerMessage) {
        let Ok(body) = postcard::to_stdvec(message) else { return };
        let body = bytes::Bytes::from(body);
        for name in recipients {
            let message = Message { topic: VERSIONS_TOPIC, body: body.clone() };
            let _ = self.outgoing.try_send((name.clone(), message));
        }
    }

    /// Returns the voters of the file, but for this member.
    pub(crate) fn other_voters(&self) -> impl Iterator<Item = Name> {
        let local_name = self.config.local_name.clone();
        self.config.voters.clone().into_iter().filter(move |name| *name != local_name)
    }

    /// Returns whether this member is a leader that knows everything that was committed.
    pub(crate) fn is_established_leader(&self) -> bool {
        matches!(&self.role, VoterRole::Voting { voter, .. } if voter.is_established_leader())
    }

    /// Tells a requester the outcome of its request. It may have stopped waiting.
    pub(crate) fn answer(&self, requester: Requester, reply: AdminReply) {
        match requester {
            Requester::Local(reply_to) => drop(reply_to.send((self.local_status(), reply))),
            Requester::Remote(name, ticket) => {
                self.send(&name, &PeerMessage::ForwardedReply { ticket, reply })
            }
            Requester::PartProposer(outcome) => drop(outcome.send(match reply {
                AdminReply::Done(number) => Ok(number),
                AdminReply::Rejected(reason) | AdminReply::Unavailable(reason) => {
                    Err(ProposalError::Failed(reason))
                }
                _ => Err(ProposalError::Failed("it has no such end".into())),
            })),
            Requester::Internal => {}
        }
    }

    /// Tells a requester that its request was rejected for good.
    pub(crate) fn reject(&self, requester: Requester, reason: impl Into<String>) {
        self.answer(requester, AdminReply::Rejected(reason.into()));
    }

    /// Tells a requester that its request failed for now, or that its outcome is unknown.
    pub(crate) fn answer_unavailable(&self, requester: Requester, reason: impl Into<String>) {
        self.answer(requester, AdminReply::Unavailable(reason.into()));
    }
}

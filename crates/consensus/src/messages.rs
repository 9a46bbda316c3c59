//! Messages between members about versions and the shared document. They are encoded by `postcard`: the order of variants and fields is
//! the wire format, and their number changes only by additions at the end.

use maplehook_versions::{Phase, PhaseUpdate, Version};
use serde::{Deserialize, Serialize};

/// The topic of Raft's own messages.
pub const RAFT_TOPIC: u8 = 2;
/// The topic of [`PeerMessage`]s.
pub const VERSIONS_TOPIC: u8 = 3;

/// A phase with the versions that it names, as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseUpdateMessage {
    /// The epoch of the phase.
    pub epoch: u64,
    /// The phase.
    pub phase: Phase,
    /// The versions that it names.
    pub versions: Vec<Version>,
}

impl PhaseUpdateMessage {
    /// Removes the texts of versions that another phase names too, for a member that has been told that phase.
    pub fn without_texts_of_phase(mut self, known_phase: Phase) -> Self {
        let known = known_phase.compatible_versions();
        for version in self.versions.iter_mut().filter(|version| known.contains(&Some(version.number))) {
            version.text.clear();
        }
        self
    }

    /// Returns the number of bytes in all texts.
    pub(crate) fn text_bytes(&self) -> usize {
        self.versions.iter().map(|version| version.text.len()).sum()
    }
}

impl From<PhaseUpdate> for PhaseUpdateMessage {
    fn from(PhaseUpdate { epoch, phase, versions }: PhaseUpdate) -> Self {
        Self { epoch, phase, versions }
    }
}

impl From<PhaseUpdateMessage> for PhaseUpdate {
    fn from(PhaseUpdateMessage { epoch, phase, versions }: PhaseUpdateMessage) -> Self {
        Self { epoch, phase, versions }
    }
}

/// An operator's request. It is also read as JSON, whose names are the serialized ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// Returns the status of the cluster.
    Status,
    /// Proposes a new version.
    Propose {
        /// The shared text of the version.
        text: String,
        /// The version that must be active; `None` if that does not matter.
        #[serde(rename = "expect")]
        expected: Option<u64>,
    },
    /// Undoes the transition that is under way, or proposes the previous version again if there is none.
    Undo,
    /// Stops waiting for a member.
    Forget {
        /// The member's name.
        name: String,
    },
    /// Returns one version with its text.
    Show {
        /// The version's number.
        number: u64,
    },
    /// Returns all retained versions.
    History,
    /// Replaces a voter by another member, or by itself if it has lost its log.
    Replace {
        /// The voter that is replaced.
        old: String,
        /// The member that replaces it.
        new: String,
    },
}

/// The status of one member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The epoch that it last reported to act on; `None` if it has not reported to this leader.
    pub epoch: Option<u64>,
    /// The longest time in milliseconds for which the present phase waits for it; `None` if it does not wait, or without limit.
    pub max_wait_ms: Option<u64>,
    /// Whether the present phase waits for it.
    pub is_pending: bool,
}

/// The status of the cluster, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The epoch of the present phase.
    pub epoch: u64,
    /// The present phase.
    pub phase: Phase,
    /// The digest of the active version; empty if there is none.
    pub digest: String,
    /// All members.
    pub members: Vec<MemberStatus>,
    /// Before the first version: the names of members by the digests of their files.
    pub differing_files: Vec<(String, Vec<String>)>,
    /// The names of the voters.
    pub voters: Vec<String>,
}

/// The outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminReply {
    /// The status of the cluster.
    Status(ClusterStatus),
    /// The request was committed; it concerns this version.
    Done(u64),
    /// The request was rejected for this reason; the same request would be rejected again.
    Rejected(String),
    /// The request failed, or its outcome is unknown; it may be repeated.
    Unavailable(String),
    /// Versions, without their texts if the request was [`AdminRequest::History`].
    Versions(Vec<Version>),
}

/// The answer of a member that is to become a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterNumber {
    /// The number under which it will vote.
    Assigned(u64),
    /// The reason why it can't become a voter.
    Refused(String),
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A member requests a lease.
    LeaseRequest {
        /// The number of the request.
        request_id: u64,
        /// The epoch that the member acts on.
        epoch: u64,
        /// The epoch whose texts the member has.
        received_epoch: u64,
        /// The digest of the shared part of the member's own file.
        digest: String,
    },
    /// The leader grants a lease.
    LeaseGrant {
        /// The number of the request.
        request_id: u64,
        /// The epoch of the present phase.
        epoch: u64,
        /// The phase, if the member does not have it.
        update: Option<PhaseUpdateMessage>,
    },
    /// The receiver of a lease request is not the leader.
    NotLeader {
        /// The leader, as far as the sender knows.
        leader: Option<String>,
    },
    /// An operator's request, forwarded to the leader.
    ForwardedRequest {
        /// Identifies the request in its reply.
        ticket: u64,
        /// The request.
        request: AdminRequest,
    },
    /// The reply to a forwarded request.
    ForwardedReply {
        /// The ticket of the request.
        ticket: u64,
        /// The reply.
        reply: AdminReply,
    },
    /// The leader asks whether a member could apply a text.
    ValidationRequest {
        /// Identifies the request in its result.
        ticket: u64,
        /// The shared text.
        text: String,
    },
    /// The member's answer.
    ValidationResult {
        /// The ticket of the request.
        ticket: u64,
        /// Why the member can't apply the text; `None` if it can.
        error: Option<String>,
    },
    /// A voter reports whether it has a log, and may ask the others whether they have one.
    Bootstrap {
        /// The number of a voter without a log; `None` if it has one.
        number: Option<u64>,
        /// The names and numbers of the voters with which the sender's log began, if it has one.
        founders: Vec<(String, u64)>,
        /// Whether the receiver is to report too.
        wants_reply: bool,
    },
    /// The leader asks a member for the number under which it would vote.
    VoterNumberRequest {
        /// Identifies the request in its reply.
        ticket: u64,
    },
    /// The member's answer.
    VoterNumberReply {
        /// The ticket of the request.
        ticket: u64,
        /// The number.
        number: VoterNumber,
    },
    /// The receiver sends messages as a voter, but has been replaced.
    VoterReplaced,
    /// A member sends messages as a voter that the sender's log does not name. The leader is to verify that.
    SuspectedFormerVoter {
        /// The member's name.
        name: String,
    },
    /// What a member that knows the shared document sends before each [`LeaseRequest`](Self::LeaseRequest).
    DocumentReport {
        /// The number of the document that the member acts on; `None` if it has no part in it.
        active_number: Option<u64>,
        /// The number whose body the member has.
        received_number: u64,
        /// The epoch of the phase that the member can't apply, with the reason.
        rejected_phase: Option<(u64, String)>,
    },
    /// The shared document, with a lease or because it has changed.
    Document {
        /// The number of the lease request that is granted, if one is.
        request_id: Option<u64>,
        /// The number in force; 0 if there is no document.
        number: u64,
        /// The body, if the member does not have it.
        body: Option<Vec<u8>>,
    },
}

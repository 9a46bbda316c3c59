//! What balancers say to one another of versions.

use maplehook_versions::lease_holder::PhaseUpdate;
use maplehook_versions::version_state::{Phase, Version};
use serde::{Deserialize, Serialize};

/// The topics, on links.
pub const RAFT_TOPIC: u8 = 2;
/// Everything but Raft's own messages.
pub const VERSIONS_TOPIC: u8 = 3;

/// A step with its texts, as it is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseUpdateMessage {
    /// Its epoch.
    pub epoch: u64,
    /// The step.
    pub phase: Phase,
    /// The versions that it names.
    pub versions: Vec<Version>,
}

impl PhaseUpdateMessage {
    /// Without the texts of versions that the step before names too: whoever has been told that one has them.
    pub fn without_known_texts(mut self, before: Phase) -> Self {
        let known = before.compatible_versions();
        for version in self.versions.iter_mut().filter(|version| known.contains(&Some(version.number))) {
            version.text.clear();
        }
        self
    }
}

impl From<PhaseUpdate> for PhaseUpdateMessage {
    fn from(PhaseUpdate { epoch, phase: step, versions }: PhaseUpdate) -> Self {
        Self { epoch, phase: step, versions }
    }
}

impl From<PhaseUpdateMessage> for PhaseUpdate {
    fn from(PhaseUpdateMessage { epoch, phase: step, versions }: PhaseUpdateMessage) -> Self {
        Self { epoch, phase: step, versions }
    }
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// How it stands.
    Status,
    /// A new version.
    Propose {
        /// Its shared text.
        text: String,
        /// The version that has to be in force.
        #[serde(rename = "expect")]
        expected: Option<u64>,
    },
    /// The change that is under way is taken back; of none, the version before is proposed again.
    Undo,
    /// A member is not waited for.
    Forget {
        /// Whom.
        name: String,
    },
    /// A version's text.
    Show {
        /// Its number.
        number: u64,
    },
    /// All versions that are kept.
    History,
    /// A voter's place is given to another member; the same one, where it has lost its log.
    Replace {
        /// Who votes.
        old: String,
        /// Who is to.
        new: String,
    },
}

/// A member, and the epoch that it acts on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// The epoch that it last said it acts on; none if it was not heard of.
    pub epoch: Option<u64>,
    /// Whether the present step is still waited for at it, and for how long at the most.
    pub max_wait_ms: Option<u64>,
    /// Whether it is waited for.
    pub is_pending: bool,
}

/// How it stands, by the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The epoch.
    pub epoch: u64,
    /// The step.
    pub phase: Phase,
    /// The digest of what is in force.
    pub digest: String,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// Members whose files differ, before the first version: names, by digest.
    pub differing_files: Vec<(String, Vec<String>)>,
    /// The voters.
    pub voters: Vec<String>,
}

/// The end of an operator's wish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminReply {
    /// How it stands.
    Status(ClusterStatus),
    /// It is done; the version that it concerns.
    Done(u64),
    /// It is not done, and why; asking again is of no use.
    Rejected(String),
    /// It is not done, or nobody knows; asking again is harmless.
    Unavailable(String),
    /// Versions, those of `History` without their texts.
    Versions(Vec<Version>),
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A member asks for a lease.
    LeaseRequest {
        /// The request's number.
        number: u64,
        /// The epoch that it acts on.
        epoch: u64,
        /// The epoch whose texts it has.
        has: u64,
        /// The digest of its own file's shared part.
        digest: String,
    },
    /// It is granted.
    LeaseGrant {
        /// The request's number.
        number: u64,
        /// The epoch.
        epoch: u64,
        /// The step, where the member has not got it.
        update: Option<PhaseUpdateMessage>,
    },
    /// Somebody else leads.
    NotLeader {
        /// Whom this voter takes for the leader.
        leader: Option<String>,
    },
    /// An operator's wish, passed on.
    ForwardedRequest {
        /// By which its end is known.
        ticket: u64,
        /// What.
        request: AdminRequest,
    },
    /// Its end.
    ForwardedReply {
        /// Which.
        ticket: u64,
        /// How.
        reply: AdminReply,
    },
    /// Can this be acted on?
    ValidationRequest {
        /// By which the answer is known.
        ticket: u64,
        /// The shared text.
        text: String,
    },
    /// It can, or can't for this reason.
    ValidationResult {
        /// Which.
        ticket: u64,
        /// Why not.
        error: Option<String>,
    },
    /// A voter without a log says so, by a number of its own, and asks the others.
    Bootstrap {
        /// The number; none if it has a log.
        number: Option<u64>,
        /// Of one that has a log: with whom it was founded.
        founders: Vec<(String, u64)>,
        /// Whether an answer is wanted.
        wants_reply: bool,
    },
    /// A member is asked under which number it would vote.
    VoterNumberRequest {
        /// By which the answer is known.
        ticket: u64,
    },
    /// Under this one, or it can't for this reason.
    VoterNumberReply {
        /// Which.
        ticket: u64,
        /// The number.
        number: Result<u64, String>,
    },
    /// Whoever hears this speaks as a voter, and is none any more.
    VoterReplaced,
    /// Somebody speaks as a voter whom the log of this one's author does not know as one: whoever leads is to say.
    SuspectedFormerVoter {
        /// Who.
        name: String,
    },
    /// Said before `Ask`, by whoever knows the common document.
    DocumentReport {
        /// The number of it that it acts on; `None`: it has no part in it.
        active_number: Option<u64>,
        /// The number whose body it has.
        has: u64,
        /// Why it can't act on the step of the epoch that it has been told, if that is so.
        rejected_phase: Option<(u64, String)>,
    },
    /// The common document: with a lease, or told when it changes.
    Document {
        /// The request for a lease that is granted, if one is.
        request: Option<u64>,
        /// The number in force; 0 is none.
        number: u64,
        /// Its body, where the member has not got it.
        body: Option<Vec<u8>>,
    },
}

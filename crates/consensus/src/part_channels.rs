//! The channels between the consensus thread and the proposer of one part of the shared document.

use crate::document_parts::DocumentPart;
use crate::error::ProposalError;
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_transport::frames::Message;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// The topic of messages between proposers of the same part on different members.
pub const SHARED_DOCUMENT_TOPIC: u8 = 4;
/// Messages that may be queued in each direction.
const MESSAGE_QUEUE: usize = 256;
/// Proposals that may be queued.
const PROPOSAL_QUEUE: usize = 4;

/// A member that may still act on an earlier body than the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingMember {
    /// The member's name.
    pub name: Name,
    /// The longest remaining time for which it may do so, by the leader's clock, including clock drift.
    pub max_remaining: Duration,
}

/// The state of one part of the shared document, as this member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedDocumentStatus {
    /// The newest part that this member has received.
    pub received: Option<DocumentPart>,
    /// The end of the lease on it; `None` if there was none yet.
    pub lease_end: Option<Instant>,
    /// The leader, as far as this member knows.
    pub leader: Option<Name>,
    /// Whether this member is the leader, and a majority has confirmed that within a lease.
    pub is_leader: bool,
    /// On a voter: the part in its log, on which a leader bases the next proposal.
    pub committed: Option<DocumentPart>,
    /// On the leader: members that may still act on an earlier part than the newest.
    pub lagging_members: Vec<LaggingMember>,
    /// The longest duration of a lease by the leader's clock.
    pub max_lease: Duration,
    /// On the leader: the members that hold a lease, with the number that they act on; `None` for a member that has no part in
    /// the shared document.
    pub members: Vec<(Name, Option<u64>)>,
}

/// A proposed replacement of a part.
#[derive(Debug)]
pub struct PartProposal {
    /// The number at which the part must have changed last.
    pub expected: u64,
    /// The new bytes, at most [`MAX_PART_BYTES`](crate::MAX_PART_BYTES).
    pub body: Vec<u8>,
    /// Receives the new number once the proposal is committed, or an error if it is not, or may not be.
    pub outcome: oneshot::Sender<Result<u64, ProposalError>>,
}

/// A proposer's ends of the channels.
#[derive(Debug)]
pub struct PartChannels {
    /// Messages to other members' proposers of the same part. The topic is set to [`SHARED_DOCUMENT_TOPIC`].
    pub outgoing: mpsc::Sender<(Name, Message)>,
    /// Messages from them.
    pub incoming: mpsc::Receiver<(Name, Bytes)>,
    /// Proposals of this part.
    pub proposals: mpsc::Sender<PartProposal>,
}

/// The receivers of the consensus thread.
pub(crate) struct PartReceivers {
    pub(crate) outgoing: mpsc::Receiver<(Name, Message)>,
    pub(crate) proposals: mpsc::Receiver<PartProposal>,
}

/// The senders of the consensus thread.
pub(crate) struct PartSenders {
    pub(crate) incoming: mpsc::Sender<(Name, Bytes)>,
    pub(crate) status: watch::Sender<SharedDocumentStatus>,
}

/// Both sides of a part's channels.
pub(crate) struct PartEndpoints {
    pub(crate) proposer: PartChannels,
    pub(crate) status: watch::Receiver<SharedDocumentStatus>,
    pub(crate) receivers: PartReceivers,
    pub(crate) senders: PartSenders,
}

impl PartEndpoints {
    /// Creates the channels of one part.
    pub(crate) fn new() -> Self {
        let (outgoing, outgoing_receiver) = mpsc::channel(MESSAGE_QUEUE);
        let (incoming_sender, incoming) = mpsc::channel(MESSAGE_QUEUE);
        let (proposals, proposal_receiver) = mpsc::channel(PROPOSAL_QUEUE);
        let (status_sender, status) = watch::channel(SharedDocumentStatus::default());
        Self {
            proposer: PartChannels { outgoing, incoming, proposals },
            status,
            receivers: PartReceivers { outgoing: outgoing_receiver, proposals: proposal_receiver },
            senders: PartSenders { incoming: incoming_sender, status: status_sender },
        }
    }
}

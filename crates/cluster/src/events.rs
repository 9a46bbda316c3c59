//! What the membership state machine returns: outputs, events, errors and counters.

use crate::member_list::{ExclusionReason, MemberState};
use crate::name::Name;
use crate::replay_window::ReplayError;
use crate::wire::MalformedDatagramError;
use std::time::Duration;
use thiserror::Error;

/// A change of the membership. Numbers are generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member is alive.
    MemberUp(Name, u64),
    /// A member was declared dead or has left.
    MemberDown(Name, u64, MemberState),
    /// This process was declared dead and rejoins under this generation.
    Rejoined(u64),
    /// A later generation of this name is in the cluster: this process no longer sends.
    Superseded(u64),
    /// An earlier process of this name, of this generation, is still in the cluster.
    DuplicateName(u64),
    /// This process was paused for this long.
    ProcessPaused(Duration),
    /// A balancer was seen that is excluded from the gossip.
    MemberExcluded(Name, ExclusionReason),
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram, after adding its MAC, to the address that is configured for the name.
    Send(Name, Vec<u8>),
    /// Report this event.
    Event(MembershipEvent),
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The bytes are no datagram of this protocol.
    #[error("not of the form of a datagram")]
    Malformed,
    /// The datagram is for another balancer.
    #[error("for somebody else")]
    Misaddressed,
    /// The datagram has this balancer's own name as its sender.
    #[error("under our own name")]
    FromLocalName,
    /// The datagram was received before, or is of an earlier generation of its sender.
    #[error("{0}")]
    Replayed(ReplayError),
    /// The sender is excluded from the gossip.
    #[error("{}", .0.as_str())]
    SenderExcluded(ExclusionReason),
}

impl From<MalformedDatagramError> for DatagramError {
    fn from(_: MalformedDatagramError) -> Self {
        Self::Malformed
    }
}

/// Counters of datagrams and of what happened to this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounters {
    /// Datagrams that were accepted.
    pub accepted: u64,
    /// Datagrams that were rejected.
    pub rejected: u64,
    /// Datagrams that were sent.
    pub sent: u64,
    /// Bytes that were sent, without MACs.
    pub sent_bytes: u64,
    /// Times that this process was declared dead while it lived.
    pub rejoined: u64,
    /// Times that this process was found to have been paused.
    pub pauses: u64,
}

//! Errors of the consensus service. Their texts reach operators and logs.

use maplehook_cluster::Name;
use maplehook_config::Faults;
use std::io;
use std::net::SocketAddr;

/// Why this member can't apply a text or a phase with its own file.
#[derive(Debug, thiserror::Error)]
pub enum RulesError {
    /// The file, or the file with the shared text, is invalid.
    #[error(transparent)]
    File(#[from] Faults),
    /// The file configures no proxy.
    #[error("it names no class and no upstream")]
    NoRules,
    /// The first tenant, which serves requests that name no tenant, would be another one.
    #[error("tenant: the first [[tenant]] has to stay the first: whoever names none is it")]
    FirstTenantChanged,
    /// The upstreams differ from those of the file, though Eureka maintains them.
    #[error("upstream: beside [eureka] those of the file stay as they are")]
    UpstreamsChanged,
    /// A phase update lacks the version of this number.
    #[error("version {0} was not told")]
    MissingVersion(u64),
    /// No version has been committed.
    #[error("nothing is agreed")]
    NoVersion,
}

/// Why the consensus service does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The member's own file can't be applied.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// The thread or its runtime can't be created.
    #[error(transparent)]
    Thread(#[from] io::Error),
    /// The member's message channels have been taken before.
    #[error("the tier's thread talks to somebody else")]
    MessagesTaken,
    /// The configured time is outside the supported range.
    #[error("agreement.contradiction_ms can't be kept")]
    UnsupportedContradiction,
}

/// Why a member does not join the cluster.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The secret can't be read.
    #[error("tier.secret_file: {0}")]
    Secret(String),
    /// The address can't be listened on.
    #[error("tier.listen: {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Why a proposed part of the shared document is not committed, or may not be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The previous proposal of the same part has no outcome yet.
    #[error("another one is under way")]
    InProgress,
    /// Another member is the leader.
    #[error("{0} leads")]
    NotLeader(Name),
    /// There is no known leader.
    #[error("nobody leads: a majority of the voters can't be reached from here")]
    NoLeader,
    /// The log may lack entries, and earlier leases have not expired yet.
    #[error("this voter's log may lack some: it waits to hear by which the others act")]
    IncompleteLog,
    /// The committed document can't be decoded.
    #[error("what is in force was written by another program")]
    UnreadableDocument,
    /// The part has another number than the proposal expects.
    #[error("common document {0} is in force")]
    UnexpectedNumber(u64),
    /// The body is longer than this many bytes.
    #[error("it is longer than {0} bytes")]
    TooLong(usize),
    /// The log refused the proposal, or its outcome is unknown.
    #[error("{0}")]
    Failed(String),
}

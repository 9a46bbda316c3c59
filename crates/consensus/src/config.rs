//! Settings of the consensus service.

use maplehook_cluster::Name;
use maplehook_versions::{LeaseExpiryPolicy, LeaseTimes};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The name of this member.
    pub local_name: Name,
    /// The voters that the member's file names.
    pub voters: Vec<Name>,
    /// All possible members, this one included.
    pub members: BTreeSet<Name>,
    /// The durations of leases.
    pub lease_times: LeaseTimes,
    /// What a member does once its lease has expired.
    pub expiry_policy: LeaseExpiryPolicy,
    /// The directory of a voter's log.
    pub directory: Option<PathBuf>,
    /// The text of this member's configuration file.
    pub file: String,
}

/// The interval of the consensus thread's timer, which is Raft's tick.
pub(crate) const TICK: Duration = Duration::from_millis(50);

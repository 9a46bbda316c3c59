//! Joins the cluster and the consensus as an operator's file says.

use crate::config::ConsensusConfig;
use crate::error::{JoinError, StartError};
use crate::service::ConsensusService;
use maplehook_cluster::ProgramVersion;
use maplehook_config::{Agreement, CutOff, Tier};
use maplehook_transport::{ClusterNode, NodeConfig, SecretKey};
use maplehook_versions::{LeaseExpiryPolicy, LeaseTimes};

/// The directory of the log within that of the cluster.
const LOG_DIRECTORY: &str = "agreement";

/// Starts the consensus service over the message channels of a cluster member, which are taken. `file` is the text of the member's
/// own file.
///
/// # Errors
///
/// If the channels have been taken before, the configured time is out of range, or the service does not start.
pub fn start_consensus(
    tier: &Tier,
    agreement: &Agreement,
    file: String,
    member: &mut ClusterNode,
) -> Result<ConsensusService, StartError> {
    let talk = member.channel.take().ok_or(StartError::MessagesTaken)?;
    let lease_times = LeaseTimes::new(agreement.contradiction).ok_or(StartError::UnsupportedContradiction)?;
    let config = ConsensusConfig {
        local_name: tier.name.clone(),
        voters: agreement.voters.clone(),
        members: tier.peers.keys().chain([&tier.name]).cloned().collect(),
        lease_times,
        expiry_policy: expiry_policy(agreement.when_cut_off),
        directory: tier.state.as_ref().map(|state| state.join(LOG_DIRECTORY)),
        file,
    };
    ConsensusService::start_when(config, talk, member.is_started.clone())
}

fn expiry_policy(when_cut_off: CutOff) -> LeaseExpiryPolicy {
    match when_cut_off {
        CutOff::Careful => LeaseExpiryPolicy::Conservative,
        CutOff::Refuse => LeaseExpiryPolicy::Reject,
        CutOff::WaitForAll => LeaseExpiryPolicy::WaitForAll,
    }
}

/// Joins the cluster of a file; `program` is the version of the program.
///
/// # Errors
///
/// If the secret can't be read or the address can't be listened on.
pub fn join_cluster(tier: &Tier, program: &str) -> Result<ClusterNode, JoinError> {
    join(tier, program, false)
}

/// Joins the cluster of a file once another process of this balancer has released the address.
///
/// # Errors
///
/// If the secret can't be read or the address is invalid.
pub fn join_cluster_when_free(tier: &Tier, program: &str) -> Result<ClusterNode, JoinError> {
    join(tier, program, true)
}

fn join(tier: &Tier, program: &str, waits: bool) -> Result<ClusterNode, JoinError> {
    let secret = SecretKey::read(&tier.secret_file).map_err(|error| JoinError::Secret(error.to_string()))?;
    let part = NodeConfig {
        name: tier.name.clone(),
        listen: tier.listen,
        secret,
        state_directory: tier.state.clone(),
        peers: tier.peers.clone(),
        program: ProgramVersion::parse(program),
        waits_for_port: waits,
    };
    ClusterNode::start(part).map_err(|source| JoinError::Listen { address: tier.listen, source })
}

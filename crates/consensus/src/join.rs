//! From what a file says to a part in a tier, and in what it agrees on.

use crate::service::{ConsensusConfig, ConsensusService};
use maplehook_cluster::ProgramVersion;
use maplehook_config::{Agreement, Tier};
use maplehook_transport::{ClusterNode, NodeConfig, SecretKey};
use maplehook_versions::lease_manager::{LeaseExpiryPolicy, LeaseTimes};

/// Begins to agree with the others, over what a member has to say; `file` is the balancer's own.
pub fn agree(
    tier: &Tier,
    agreement: &Agreement,
    file: String,
    member: &mut ClusterNode,
) -> Result<ConsensusService, String> {
    let talk = member.channel.take().ok_or("the tier's thread talks to somebody else")?;
    let times = LeaseTimes::new(agreement.contradiction).ok_or("agreement.contradiction_ms can't be kept")?;
    let members = tier.peers.keys().chain([&tier.name]).cloned().collect();
    let setup = ConsensusConfig {
        local_name: tier.name.clone(),
        voters: agreement.voters.clone(),
        members,
        lease_times: times,
        expiry_policy: match agreement.when_cut_off {
            maplehook_config::CutOff::Careful => LeaseExpiryPolicy::Conservative,
            maplehook_config::CutOff::Refuse => LeaseExpiryPolicy::Reject,
            maplehook_config::CutOff::WaitForAll => LeaseExpiryPolicy::WaitForAll,
        },
        directory: tier.state.as_ref().map(|state| state.join("agreement")),
        file,
    };
    ConsensusService::start_when(setup, talk, member.is_started.clone())
}

/// Begins to take part in a tier, as a file says; `program` is the version of the program.
pub fn join(tier: &Tier, program: &str) -> Result<ClusterNode, String> {
    join_as(tier, program, false)
}

/// The same, once another process of this balancer has let go of the tier's port.
pub fn join_when_free(tier: &Tier, program: &str) -> Result<ClusterNode, String> {
    join_as(tier, program, true)
}

fn join_as(tier: &Tier, program: &str, waits: bool) -> Result<ClusterNode, String> {
    let secret = SecretKey::read(&tier.secret_file).map_err(|e| format!("tier.secret_file: {e}"))?;
    let part = NodeConfig {
        name: tier.name.clone(),
        listen: tier.listen,
        secret,
        state_directory: tier.state.clone(),
        peers: tier.peers.clone(),
        program: ProgramVersion::parse(program),
        waits_for_port: waits,
    };
    ClusterNode::start(part).map_err(|e| format!("tier.listen: {}: {e}", tier.listen))
}

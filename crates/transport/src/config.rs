//! The configuration of a cluster node.

use crate::secret_key::SecretKey;
use maplehook_cluster::{Name, ProgramVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration of a cluster node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The balancer's name.
    pub name: Name,
    /// The address on which it listens, for datagrams and connections.
    pub listen: SocketAddr,
    /// The secret that the cluster shares.
    pub secret: SecretKey,
    /// Its state directory, if it has one.
    pub state_directory: Option<PathBuf>,
    /// The other balancers, each with the address that this one is to use.
    pub peers: BTreeMap<Name, SocketAddr>,
    /// The version of its program.
    pub program: ProgramVersion,
    /// Whether it waits for its port, which another process of the same balancer may still hold.
    pub waits_for_port: bool,
}

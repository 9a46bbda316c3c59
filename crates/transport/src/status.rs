//! The status of a cluster node, and how to ask for it.

use crate::connection_pool::ConnectionCounters;
use maplehook_cluster::{DatagramCounters, MemberStatus, Name, ProgramVersion};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The status of a cluster node.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// The balancer's name.
    pub name: Name,
    /// Its generation.
    pub generation: u64,
    /// The version of its program.
    pub program: ProgramVersion,
    /// How long it has been a member.
    pub uptime: Duration,
    /// Whether it takes part: not once a later generation of its name was seen.
    pub is_active: bool,
    /// The other members that were seen.
    pub members: Vec<MemberStatus>,
    /// The configured peers that are not alive.
    pub absent_peers: Vec<Name>,
    /// Counters of datagrams.
    pub datagrams: DatagramCounters,
    /// How many datagrams had a wrong MAC.
    pub forged: u64,
    /// Counters of connections.
    pub connections: ConnectionCounters,
    /// The local health score, by which probe times are stretched.
    pub local_health: u32,
    /// How many upstreams there are valid announcements of.
    pub gossiped_endpoints: usize,
}

/// A request for the status, with the channel for the answer.
pub(crate) type StatusRequest = oneshot::Sender<NodeStatus>;

/// Asks the thread of a node for its status.
#[derive(Clone)]
pub struct StatusClient(pub(crate) mpsc::Sender<StatusRequest>);

impl StatusClient {
    /// Returns the status, or `None` if the thread has ended or is too busy.
    pub async fn status(&self) -> Option<NodeStatus> {
        let (reply, status) = oneshot::channel();
        self.0.try_send(reply).ok()?;
        status.await.ok()
    }
}

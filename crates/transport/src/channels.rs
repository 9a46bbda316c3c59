//! The values that pass between the thread of a node and the rest of the program.

use crate::frames::Message;
use maplehook_cluster::Name;
use maplehook_cluster::endpoint_gossip::GossipedEndpoint;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The channel for messages of topics other than gossip, to and from peers. What does not fit into the queues is
/// dropped: whoever sends must be able to send it again.
pub struct PeerChannel {
    /// Messages to peers.
    pub outgoing: mpsc::Sender<(Name, Message)>,
    /// Messages from peers.
    pub incoming: mpsc::Receiver<(Name, Message)>,
}

/// What the announcements of peers come to, on a clock that begins at `epoch`.
#[derive(Clone, Debug)]
pub struct GossipSnapshot {
    /// When the clock begins.
    pub epoch: Instant,
    /// The upstreams that there are valid announcements of.
    pub endpoints: Arc<Vec<GossipedEndpoint>>,
}

/// Round-trip times to the peers that were measured last.
pub type MeasuredRtts = Arc<Vec<(Name, Duration)>>;

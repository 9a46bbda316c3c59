//! A cluster node: the thread on which a balancer's membership runs, with its sockets, its clock and its state directory.
//!
//! It shares nothing with the threads that serve requests but watched values and queues: what the local discovery claims
//! goes in, what the announcements of peers come to goes out. No request ever waits for it.

use crate::channels::{GossipSnapshot, MeasuredRtts, PeerChannel};
use crate::config::NodeConfig;
use crate::connection::LocalNode;
use crate::connection_pool::ConnectionPool;
use crate::event_loop::{EventLoop, Inputs, Outputs};
use crate::frames::Message;
use crate::secret_key::DatagramAuthenticator;
use crate::startup::Startup;
use crate::status::{StatusClient, StatusRequest};
use maplehook_cluster::endpoint_gossip::EndpointClaim;
use maplehook_cluster::{Cluster, ClusterSettings, Name, RttEstimator};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

/// How many messages of other topics may wait, in each direction.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// How many requests for the status may wait.
const MAX_STATUS_REQUESTS: usize = 32;
/// The stack of the thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// A cluster node, on a thread of its own. It leaves the cluster when this is dropped.
pub struct ClusterNode {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// What the announcements of peers come to.
    pub gossip: watch::Receiver<GossipSnapshot>,
    /// What the local discovery claims.
    pub claims: watch::Sender<Arc<Vec<EndpointClaim>>>,
    /// The channel for messages of other topics, until its user takes it over.
    pub channel: Option<PeerChannel>,
    /// Whether the node has its port and takes part.
    pub is_started: watch::Receiver<bool>,
    /// Round-trip times to the peers that were measured last.
    pub rtts: watch::Receiver<MeasuredRtts>,
    status_requests: mpsc::Sender<StatusRequest>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What the thread of a node needs beside its configuration.
struct ThreadContext {
    /// When the cluster's clock begins.
    epoch: Instant,
    outputs: Outputs,
    is_started: watch::Sender<bool>,
    outgoing: mpsc::Receiver<(Name, Message)>,
    claims: watch::Receiver<Arc<Vec<EndpointClaim>>>,
    status_requests: mpsc::Receiver<StatusRequest>,
    stop: oneshot::Receiver<()>,
}

impl ClusterNode {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound, unless it is to be waited for, or the thread can't be started.
    pub fn start(config: NodeConfig) -> io::Result<Self> {
        let startup = if config.waits_for_port { None } else { Some(Startup::new(&config)?) };
        let address = startup.as_ref().map_or(Ok(config.listen), |startup| startup.listener.local_addr())?;
        let epoch = Instant::now();
        let (gossip_sender, gossip) = watch::channel(GossipSnapshot { epoch, endpoints: Arc::default() });
        let (claims, claims_receiver) = watch::channel(Arc::default());
        let (status_requests, status_receiver) = mpsc::channel(MAX_STATUS_REQUESTS);
        let (stop, stop_receiver) = oneshot::channel();
        let (outgoing, outgoing_receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (incoming_sender, incoming) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (rtts_sender, rtts) = watch::channel(MeasuredRtts::default());
        let (is_started_sender, is_started) = watch::channel(false);
        let context = ThreadContext {
            epoch,
            outputs: Outputs { incoming: incoming_sender, gossip: gossip_sender, rtts: rtts_sender },
            is_started: is_started_sender,
            outgoing: outgoing_receiver,
            claims: claims_receiver,
            status_requests: status_receiver,
            stop: stop_receiver,
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread =
            std::thread::Builder::new().name("tier".into()).stack_size(STACK_BYTES).spawn(move || {
                LocalSet::new().block_on(&runtime, run(config, startup, context));
            })?;
        Ok(Self {
            address,
            gossip,
            claims,
            channel: Some(PeerChannel { outgoing, incoming }),
            is_started,
            rtts,
            status_requests,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns a client by which others may ask for the status.
    pub fn status_client(&self) -> StatusClient {
        StatusClient(self.status_requests.clone())
    }
}

impl Drop for ClusterNode {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs a node, once it has its port, until it is stopped.
async fn run(config: NodeConfig, startup: Option<Startup>, mut context: ThreadContext) {
    let startup = match startup {
        Some(startup) => Some(startup),
        None => Startup::when_port_is_free(&config, &mut context.stop).await,
    };
    let Some(Startup { listener, socket, state_directory, previous_generation, generation }) = startup else {
        return;
    };
    let sockets = TcpListener::from_std(listener).and_then(|l| Ok((l, UdpSocket::from_std(socket)?)));
    let (listener, socket) = match sockets {
        Ok(sockets) => sockets,
        Err(error) => {
            tracing::error!(%error, "cluster address unusable");
            return;
        }
    };
    let peers = config.peers.keys().cloned().collect();
    let mut settings = ClusterSettings::new(config.name.clone(), generation, peers, fastrand::u64(..));
    (settings.previous_generation, settings.program) = (previous_generation, config.program);
    let local = LocalNode { secret: config.secret.clone(), name: config.name.clone(), generation };
    let (connections, incoming) = ConnectionPool::new(local, config.peers.clone());
    spawn_local(Rc::clone(&connections).accept(listener));
    context.is_started.send_replace(true);
    let ThreadContext { epoch, outputs, outgoing, claims, status_requests, stop, is_started: _is_started } =
        context;
    let event_loop = EventLoop {
        cluster: Cluster::new(settings, epoch.elapsed()),
        authenticator: DatagramAuthenticator::new(&config.secret),
        config,
        epoch,
        socket,
        connections,
        _state_directory: state_directory,
        outputs,
        published_gossip_version: 0,
        forged: 0,
        consecutive_forged: 0,
        rtt_estimator: RttEstimator::default(),
    };
    event_loop.run(Inputs { incoming, outgoing, claims, status_requests, stop }).await;
}

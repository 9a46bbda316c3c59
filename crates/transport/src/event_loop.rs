//! The event loop of a node's thread: datagrams, connections, announcements and timers, as they come and as they are due.

use crate::channels::{GossipSnapshot, MeasuredRtts};
use crate::config::NodeConfig;
use crate::connection_pool::{ConnectionPool, successors};
use crate::frames::Message;
use crate::gossip_message::{self, GOSSIP_TOPIC};
use crate::secret_key::DatagramAuthenticator;
use crate::startup::unix_ms;
use crate::state_directory::{self, StateDirectory};
use crate::status::{NodeStatus, StatusRequest};
use maplehook_cluster::endpoint_gossip::EndpointClaim;
use maplehook_cluster::{Cluster, MAX_DATAGRAM_BYTES, MembershipEvent, Name, Output, RttEstimator};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep_until};

/// How many datagrams are read before anything else has its turn.
const MAX_DATAGRAMS_PER_READ: usize = 64;
/// After how many datagrams in a row with a wrong MAC the socket is not read for a while, and for how long: a flood of
/// them then costs some 13,000 verifications a second.
const MAX_CONSECUTIVE_FORGED: usize = 128;
const FLOOD_PAUSE: Duration = Duration::from_millis(10);
/// How often connections are maintained and round-trip times published.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// How often all announcements are sent to a random peer.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(5);
/// How many peers round-trip times are published of: those that were measured last.
const MAX_PUBLISHED_RTTS: usize = 16;

/// The receiving ends of the event loop.
pub(crate) struct Inputs {
    /// Messages from peers.
    pub(crate) incoming: mpsc::Receiver<(Name, Message)>,
    /// Messages of other topics to peers.
    pub(crate) outgoing: mpsc::Receiver<(Name, Message)>,
    /// What the local discovery claims.
    pub(crate) claims: watch::Receiver<Arc<Vec<EndpointClaim>>>,
    pub(crate) status_requests: mpsc::Receiver<StatusRequest>,
    /// Ends the loop, also when its sender is dropped.
    pub(crate) stop: oneshot::Receiver<()>,
}

/// The sending ends of the event loop.
pub(crate) struct Outputs {
    /// Messages of other topics from peers.
    pub(crate) incoming: mpsc::Sender<(Name, Message)>,
    pub(crate) gossip: watch::Sender<GossipSnapshot>,
    pub(crate) rtts: watch::Sender<MeasuredRtts>,
}

/// The state of the event loop.
pub(crate) struct EventLoop {
    pub(crate) config: NodeConfig,
    pub(crate) cluster: Cluster,
    pub(crate) authenticator: DatagramAuthenticator,
    /// When the cluster's clock begins.
    pub(crate) epoch: Instant,
    pub(crate) socket: UdpSocket,
    pub(crate) connections: Rc<ConnectionPool>,
    /// Holds the lock of the directory.
    pub(crate) _state_directory: Option<StateDirectory>,
    pub(crate) outputs: Outputs,
    pub(crate) published_gossip_version: u64,
    pub(crate) forged: u64,
    pub(crate) consecutive_forged: usize,
    pub(crate) rtt_estimator: RttEstimator,
}

impl EventLoop {
    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Runs until it is stopped, and then leaves the cluster.
    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        let mut maintenance = interval(MAINTENANCE_INTERVAL);
        maintenance.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_anti_entropy = Instant::now();
        let mut paused_until: Option<tokio::time::Instant> = None;
        loop {
            let deadline = tokio::time::Instant::from_std(self.epoch + self.cluster.next_deadline());
            let is_paused = paused_until.is_some();
            tokio::select! {
                biased;
                _ = &mut inputs.stop => break,
                () = sleep_until(deadline) => self.cluster.poll(self.epoch.elapsed()),
                () = sleep_until(paused_until.unwrap_or(deadline)), if is_paused => paused_until = None,
                readable = self.socket.readable(), if !is_paused => {
                    if readable.is_ok() && self.read_datagrams() == Flooded::Yes {
                        paused_until = Some(tokio::time::Instant::now() + FLOOD_PAUSE);
                    }
                }
                Some((from, message)) = inputs.incoming.recv() => self.handle_message(from, message),
                Some((to, message)) = inputs.outgoing.recv() => self.send_if_active(&to, message),
                Some(reply) = inputs.status_requests.recv() => drop(reply.send(self.status())),
                changed = inputs.claims.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let claims = inputs.claims.borrow_and_update().to_vec();
                    self.cluster.set_local_claims(self.epoch.elapsed(), unix_ms(), claims);
                }
                _ = maintenance.tick() => {
                    self.maintain_connections();
                    self.publish_rtts();
                    if last_anti_entropy.elapsed() > ANTI_ENTROPY_INTERVAL {
                        last_anti_entropy = Instant::now();
                        self.send_announcements(None);
                    }
                }
            }
            self.apply_outputs();
        }
        self.cluster.leave(self.now());
        self.apply_outputs();
    }

    /// Reads the datagrams that wait, up to a limit.
    fn read_datagrams(&mut self) -> Flooded {
        // One byte more than a datagram may have: one that fills the buffer is too long.
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let length = match self.socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => length,
                // Nothing waits, or an earlier datagram came to a port where nobody listens.
                Err(_) => return Flooded::No,
            };
            if self.handle_datagram(&buffer[..length]) == Flooded::Yes {
                return Flooded::Yes;
            }
        }
        Flooded::No
    }

    fn handle_datagram(&mut self, datagram: &[u8]) -> Flooded {
        let Some(payload) = self.authenticator.open(datagram) else {
            self.forged += 1;
            self.consecutive_forged += 1;
            if self.consecutive_forged < MAX_CONSECUTIVE_FORGED {
                return Flooded::No;
            }
            self.consecutive_forged = 0;
            return Flooded::Yes;
        };
        self.consecutive_forged = 0;
        let now = self.epoch.elapsed();
        match self.cluster.handle_datagram(now, payload) {
            Ok(()) => self.rtt_estimator.on_received(now, payload),
            Err(error) => tracing::debug!(%error, "datagram rejected"),
        }
        Flooded::No
    }

    fn handle_message(&mut self, from: Name, message: Message) {
        if message.topic == GOSSIP_TOPIC {
            let now = self.now();
            self.cluster.merge_announcements(now, &gossip_message::decode(message.body));
            return;
        }
        let topic = message.topic;
        // Nobody receives a topic of a later version, or the queue is full: it is sent again.
        if self.outputs.incoming.try_send((from, message)).is_err() {
            tracing::debug!(topic, "peer message dropped");
        }
    }

    fn send_if_active(&mut self, to: &Name, message: Message) {
        if self.cluster.is_active() {
            self.connections.send(to, message);
        }
    }

    /// Returns the configured peers that are alive.
    fn alive_peers(&self) -> Vec<Name> {
        self.config.peers.keys().filter(|name| self.cluster.is_alive(name)).cloned().collect()
    }

    fn maintain_connections(&mut self) {
        if self.cluster.is_active() {
            let alive = self.alive_peers();
            self.connections.keep_connected(&successors(&self.config.name, alive.iter()));
        }
    }

    fn publish_rtts(&mut self) {
        let rtts = self.rtt_estimator.latest(self.epoch.elapsed(), MAX_PUBLISHED_RTTS);
        self.outputs.rtts.send_if_modified(|published| {
            let is_changed = **published != rtts;
            if is_changed {
                *published = Arc::new(rtts);
            }
            is_changed
        });
    }

    /// Sends all announcements to a peer, or to a random one: a peer that missed a datagram receives them all the same.
    fn send_announcements(&mut self, to: Option<&Name>) {
        let announcements = self.cluster.announcements(self.now());
        if announcements.is_empty() || !self.cluster.is_active() {
            return;
        }
        let Some(to) = to.cloned().or_else(|| self.random_alive_peer()) else { return };
        self.connections.send(&to, gossip_message::encode(&announcements));
    }

    fn random_alive_peer(&self) -> Option<Name> {
        let alive = self.alive_peers();
        (!alive.is_empty()).then(|| alive[fastrand::usize(..alive.len())].clone())
    }

    /// Does what the cluster asks for, and publishes what the announcements come to.
    fn apply_outputs(&mut self) {
        for output in self.cluster.take_outputs() {
            match output {
                Output::Send(to, payload) => self.send_datagram(&to, payload),
                Output::Event(event) => self.handle_event(event),
            }
        }
        let version = self.cluster.gossip_version();
        if version != self.published_gossip_version {
            self.published_gossip_version = version;
            let endpoints = Arc::new(self.cluster.gossiped_endpoints().1);
            self.outputs.gossip.send_replace(GossipSnapshot { epoch: self.epoch, endpoints });
        }
    }

    fn send_datagram(&mut self, to: &Name, payload: Vec<u8>) {
        if let Some(address) = self.config.peers.get(to) {
            self.rtt_estimator.on_sent(self.epoch.elapsed(), to, &payload);
            // What can't be sent is lost, as any datagram may be.
            let _ = self.socket.try_send_to(&self.authenticator.seal(payload), *address);
        }
    }

    fn handle_event(&mut self, event: MembershipEvent) {
        match event {
            MembershipEvent::MemberUp(name, generation) => {
                tracing::info!(%name, generation, "member up");
                self.connections.record_generation(&name, generation);
                self.send_announcements(Some(&name));
            }
            MembershipEvent::MemberDown(name, generation, state) => {
                tracing::info!(%name, generation, state = state.as_str(), "member down");
            }
            MembershipEvent::Rejoined(generation) => self.on_rejoined(generation),
            MembershipEvent::Superseded(generation) => tracing::error!(
                generation,
                "a later process of this name is in the tier: this one speaks there no more, and goes on serving"
            ),
            MembershipEvent::DuplicateName(generation) => tracing::error!(
                generation,
                "an earlier process of this name is in the tier: it is to be ended"
            ),
            MembershipEvent::ProcessPaused(missed) => tracing::warn!(?missed, "this process was stopped"),
            MembershipEvent::MemberExcluded(name, reason) => {
                tracing::warn!(%name, reason = reason.as_str(), "member excluded from gossip");
            }
        }
    }

    fn on_rejoined(&self, generation: u64) {
        tracing::warn!(generation, "the others took this process for dead; it goes on under a new start");
        self.connections.set_generation(generation);
        let Some(directory) = self.config.state_directory.clone() else { return };
        let name = self.config.name.clone();
        // A disk may block for long.
        tokio::task::spawn_blocking(move || {
            if let Err(e) = state_directory::record_generation(&directory, &name, generation) {
                tracing::warn!("tier.state: {}: the start is not recorded: {e}", directory.display());
            }
        });
    }

    fn status(&self) -> NodeStatus {
        let now = self.now();
        NodeStatus {
            name: self.config.name.clone(),
            generation: self.cluster.identity().generation,
            program: self.config.program,
            uptime: now,
            is_active: self.cluster.is_active(),
            members: self.cluster.member_statuses(now),
            absent_peers: self.cluster.absent_peers().cloned().collect(),
            datagrams: self.cluster.counters(),
            forged: self.forged,
            connections: self.connections.counters(),
            local_health: self.cluster.local_health(),
            gossiped_endpoints: self.cluster.gossiped_endpoints().1.len(),
        }
    }
}

/// Whether so many datagrams in a row had a wrong MAC that the socket is not to be read for a while.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flooded {
    Yes,
    No,
}

//! Creation of a balancer's components, before the balancer accepts clients.

use super::BalancerSetup;
use crate::admission::AdmissionController;
use crate::control::{self, AdminState, DeferredAddress};
use crate::failover::{self, FailoverOptions};

use crate::places::PlacesApi;
use crate::request_signing::RequestVerifier;
use crate::rollout;
use crate::settings_api::SettingsApi;
use crate::supervised::{self, SupervisorChannel};
use crate::tier;
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::descriptors::{self, Descriptors};
use maplehook::parts::upstream::Upstreams;
use maplehook_admission::{ConnectionAdmission, DescriptorClass};
use maplehook_config::{Proxy, Tier};
use maplehook_consensus::ConsensusService;
use maplehook_core::Balancer;
use maplehook_rollout_agent::{Agent, Link, Setup};
use maplehook_transport::{ClusterNode, SecretKey};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;

/// Components that exist before the balancer accepts clients.
pub(super) struct Components {
    pub(super) sigterm: Signal,
    pub(super) listener: TcpListener,
    pub(super) descriptors: Rc<Descriptors>,
    pub(super) memory: BufferMemory,
    pub(super) upstreams: Rc<Upstreams>,
    pub(super) admission: Rc<AdmissionController>,
    pub(super) balancer: Balancer,
    pub(super) admin_state: AdminState,
    /// True if other processes can accept connections from the same listener.
    pub(super) is_listener_shared: bool,
    /// Membership in a tier. Dropping it announces that the balancer leaves.
    pub(super) node: Option<ClusterNode>,
    /// Consensus service of the tier, if the tier agrees on configuration versions.
    pub(super) consensus: Option<ConsensusService>,
    /// Failover agent, if the configuration has localities or can receive them by a version.
    pub(super) failover_agent: Option<failover::FailoverAgent>,
    /// Rollout agent of the tier.
    pub(super) rollout: Option<Agent>,
    /// Channel to the supervisor, if one started this process.
    pub(super) supervisor: Option<SupervisorChannel>,
}

impl Components {
    /// Creates the components. `proxy` is the operator's configuration; it is `None` on the platform, which has no
    /// localities.
    pub(super) fn new(setup: &mut BalancerSetup, proxy: Option<&Proxy>) -> Result<Self, Box<dyn Error>> {
        if let Some(limit) = setup.operator.descriptors.limit {
            descriptors::set_limit(limit).map_err(|e| format!("descriptors.limit: {e}"))?;
        }
        let balancer = Balancer::new(setup.settings.clone(), setup.seed)?;
        // The handler is installed before this process reports readiness: an unhandled SIGTERM kills it.
        let sigterm = signal(SignalKind::terminate())?;
        let supervisor_environment = setup.supervisor.take();
        let operator_descriptors = if setup.control.is_some() { control::DESCRIPTORS } else { 0 };
        let operator_descriptors =
            operator_descriptors + if supervisor_environment.is_some() { supervised::DESCRIPTORS } else { 0 };
        let has_agreement = setup.operator.tier.as_ref().is_some_and(|tier| tier.agreement.is_some());
        // If the tier agrees on configuration versions, a later version can add localities.
        let proxy = proxy.filter(|proxy| has_agreement || proxy.places.is_some());
        let failover_descriptors = if proxy.is_some() { failover::DESCRIPTORS } else { 0 };
        let reserved_descriptors = operator_descriptors
            + failover_descriptors
            + setup.operator.tier.as_ref().map_or(0, tier::max_descriptors);
        let descriptors =
            Descriptors::new(setup.sockets, reserved_descriptors, setup.operator.descriptors.upstream_share)?;
        let memory = setup.memory.divide(&descriptors, setup.inherited.is_some());
        let handover_listener = setup.inherited.as_ref().map(std::net::TcpListener::try_clone).transpose()?;
        let (is_listener_shared, listener) = match setup.inherited.take() {
            Some(listener) => (true, TcpListener::from_std(listener)),
            None => (false, listen(setup.listen, setup.operator.backlog)),
        };
        let listener = listener.map_err(|e| format!("can't listen on {}: {e}", setup.listen))?;
        let mut node = setup
            .operator
            .tier
            .as_ref()
            .map(|tier| {
                let join = if supervisor_environment.is_some() {
                    maplehook_consensus::join_cluster_when_free
                } else {
                    maplehook_consensus::join_cluster
                };
                join(tier, env!("CARGO_PKG_VERSION")).map_err(|error| error.to_string())
            })
            .transpose()?;
        let mut admin_state =
            AdminState { tier: node.as_ref().map(ClusterNode::status_client), ..AdminState::default() };
        let (mut consensus, mut verifier, mut rollout) = (None, None, None);
        if let (Some(node), Some(tier)) = (&mut node, &setup.operator.tier)
            && let Some(agreement) = &tier.agreement
        {
            let file_text = setup.operator_file_text.take().ok_or(
                "[agreement] needs the text of the operator's file; use: maplehook run --config FILE",
            )?;
            let mut started_consensus =
                maplehook_consensus::start_consensus(tier, agreement, file_text.clone(), node)
                    .map_err(|error| error.to_string())?;
            let secret = SecretKey::read(&tier.secret_file).map_err(|e| format!("tier.secret_file: {e}"))?;
            let shared_verifier = Arc::new(RequestVerifier::new(&secret));
            rollout = proxy
                .map(|proxy| start_rollout(tier, proxy, file_text, &mut started_consensus))
                .transpose()?
                .flatten();
            let rollout_board = rollout.as_ref().map(|rollout| rollout.status_board.clone());
            admin_state.rollout = rollout_board
                .clone()
                .map(|board| rollout::RolloutApi::new(board, Arc::clone(&shared_verifier)));
            admin_state.settings = Some(Arc::new(SettingsApi::new(
                Arc::clone(&shared_verifier),
                started_consensus.admin_client(),
                rollout_board,
            )));
            (consensus, verifier) = (Some(started_consensus), Some(shared_verifier));
        }
        let failover_agent = proxy.map(|proxy| {
            let tier = setup.operator.tier.as_ref();
            let options = FailoverOptions {
                name: tier.map_or_else(|| "balancer".into(), |tier| tier.name.to_string()),
                proxy,
                ready: Arc::clone(&admin_state.is_ready),
                trips: node.as_ref().map(|node| node.rtts.clone()),
                balancers: tier.map_or(1, |tier| tier.peers.len() + 1),
                history: setup.operator.history.clone(),
            };
            failover::FailoverAgent::start(options, consensus.as_mut())
        });
        let failover_agent = failover_agent.transpose()?;
        admin_state.places =
            failover_agent.as_ref().map(|part| PlacesApi::new(part.agent.status_board.clone(), verifier));
        let mut supervisor = None;
        if let Some(supervisor_environment) = supervisor_environment {
            let handover_listener = handover_listener
                .ok_or("a process started by a supervisor must inherit its listening socket")?;
            let (release, released) = oneshot::channel();
            let log_key = setup.control_log_key;
            let deferred =
                setup.control.map(|address| DeferredAddress { address, log_key, release: released });
            let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
            let bound = control::serve(loopback, admin_state.clone(), deferred)
                .map_err(|e| format!("operators' calls on {loopback}: {e}"))?;
            supervisor =
                Some(supervisor_environment.open_control_socket(handover_listener, bound, release)?);
        } else if let Some(address) = setup.control {
            let bound = control::serve(address, admin_state.clone(), None)
                .map_err(|e| format!("operators' calls on {address}: {e}"))?;
            tracing::info!("operators may call {}={bound}", setup.control_log_key);
        }
        let (buffer_memory, forwarding) = (memory.clone(), setup.forwarding.clone());
        let upstreams = Rc::new(Upstreams::new(
            &setup.settings,
            Rc::clone(&descriptors),
            buffer_memory,
            forwarding,
            Arc::clone(&admin_state.tally),
        ));
        let guarantees: Vec<f64> = setup.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        let max_clients = descriptors.limit_of(DescriptorClass::Clients);
        let admission =
            ConnectionAdmission::new(setup.operator.admission.clone(), max_clients, &guarantees, setup.seed);
        let admission = AdmissionController::new(admission, setup.client_timeouts);
        share_descriptors(&descriptors, &upstreams, &admission);
        Ok(Self {
            sigterm,
            listener,
            descriptors,
            memory,
            upstreams,
            admission,
            balancer,
            admin_state,
            is_listener_shared,
            node,
            consensus,
            failover_agent,
            rollout,
            supervisor,
        })
    }
}

/// Starts the rollout agent. The supervisor passes the program's digest and its crash count in the environment.
fn start_rollout(
    tier: &Tier,
    proxy: &Proxy,
    file_text: String,
    consensus: &mut ConsensusService,
) -> Result<Option<Agent>, String> {
    let Some(channels) = consensus.rollout.take() else { return Ok(None) };
    let link = Link {
        document_status: consensus.rollout_status.clone(),
        channels,
        active_version: consensus.active_version.clone(),
        admin: consensus.admin_client(),
    };
    let names = tier.peers.keys().chain([&tier.name]).map(ToString::to_string).collect();
    let setup = Setup {
        name: tier.name.to_string(),
        names,
        zone: proxy.zones.first().cloned().unwrap_or_default(),
        file: file_text,
        digest: std::env::var("MAPLEHOOK_DIGEST").ok(),
        crashes: std::env::var("MAPLEHOOK_CRASHES").ok().and_then(|n| n.parse().ok()).unwrap_or(0),
        link,
    };
    Agent::start(setup).map(Some)
}

fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // After a crash, connections of the previous process can still be closing on the address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Registers the components that release descriptors under pressure and those that adapt to a changed
/// descriptor limit. Idle upstream connections close first, since closing them costs less than closing a
/// client connection.
fn share_descriptors(
    descriptors: &Rc<Descriptors>,
    upstreams: &Rc<Upstreams>,
    admission: &Rc<AdmissionController>,
) {
    let upstreams_for_relief = Rc::clone(upstreams);
    descriptors.add_relief(move || upstreams_for_relief.close_oldest());
    let clients_for_relief = Rc::clone(admission);
    descriptors.add_relief(move || clients_for_relief.evict_one());
    let (weak_descriptors, upstreams, admission) =
        (Rc::downgrade(descriptors), Rc::clone(upstreams), Rc::clone(admission));
    descriptors.on_limits_changed(move || {
        if let Some(descriptors) = weak_descriptors.upgrade() {
            admission.set_capacity(descriptors.limit_of(DescriptorClass::Clients));
            upstreams.apply_descriptor_limit();
        }
    });
}

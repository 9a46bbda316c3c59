//! What is there before anybody is let in.

use super::Plan;
use crate::admission::AdmissionController;
use crate::control::{self, Board, Late};
use crate::failover::{self, FailoverOptions};
use crate::places::Desk;
use crate::rollout;
use crate::signed::Seal;
use crate::supervised::{self, Led};
use crate::tier;
use crate::wishes::Guard;
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

/// What is there before anybody is let in.
pub(super) struct Parts {
    pub(super) term: Signal,
    pub(super) listener: TcpListener,
    pub(super) descriptors: Rc<Descriptors>,
    pub(super) upstreams: Rc<Upstreams>,
    pub(super) admission: Rc<AdmissionController>,
    pub(super) balancer: Balancer,
    pub(super) board: Board,
    /// Whether others accept on the listener too.
    pub(super) shared: bool,
    /// Its part in a tier. It says that it goes when this is dropped.
    pub(super) member: Option<ClusterNode>,
    /// Its part in agreeing on versions.
    pub(super) agreeing: Option<ConsensusService>,
    /// Its part in places.
    pub(super) places: Option<failover::FailoverAgent>,
    /// Its part in changes in stages.
    pub(super) staging: Option<Agent>,
    /// The way from its supervisor.
    pub(super) led: Option<Led>,
}

impl Parts {
    /// `proxy`: what a balancer of one's own serves; on the platform there are no places.
    pub(super) fn new(plan: &mut Plan, proxy: Option<&Proxy>) -> Result<Self, Box<dyn Error>> {
        if let Some(limit) = plan.operator.descriptors.limit {
            descriptors::set_limit(limit).map_err(|e| format!("descriptors.limit: {e}"))?;
        }
        let balancer = Balancer::new(plan.settings.clone(), plan.seed)?;
        // Before anybody can know that this process is ready: unhandled, it would kill.
        let term = signal(SignalKind::terminate())?;
        let supervised = plan.supervised.take();
        let operators = if plan.control.is_some() { control::DESCRIPTORS } else { 0 };
        let operators = operators + if supervised.is_some() { supervised::DESCRIPTORS } else { 0 };
        let agrees = plan.operator.tier.as_ref().is_some_and(|tier| tier.agreement.is_some());
        // A version may bring places, where versions are agreed on.
        let proxy = proxy.filter(|proxy| agrees || proxy.places.is_some());
        let near = if proxy.is_some() { failover::DESCRIPTORS } else { 0 };
        let aside = operators + near + plan.operator.tier.as_ref().map_or(0, tier::descriptors);
        let descriptors = Descriptors::new(plan.sockets, aside, plan.operator.descriptors.upstream_share)?;
        let handed = plan.inherited.as_ref().map(std::net::TcpListener::try_clone).transpose()?;
        let (shared, listener) = match plan.inherited.take() {
            Some(listener) => (true, TcpListener::from_std(listener)),
            None => (false, listen(plan.listen, plan.operator.backlog)),
        };
        let listener = listener.map_err(|e| format!("listen on {}: {e}", plan.listen))?;
        let mut member = plan
            .operator
            .tier
            .as_ref()
            .map(|tier| {
                let join = if supervised.is_some() {
                    maplehook_consensus::join_cluster_when_free
                } else {
                    maplehook_consensus::join_cluster
                };
                join(tier, env!("CARGO_PKG_VERSION")).map_err(|error| error.to_string())
            })
            .transpose()?;
        let mut board = Board { tier: member.as_ref().map(ClusterNode::status_client), ..Board::default() };
        let (mut agreeing, mut seal, mut staging) = (None, None, None);
        if let (Some(member), Some(tier)) = (&mut member, &plan.operator.tier)
            && let Some(agreement) = &tier.agreement
        {
            let file =
                plan.file.take().ok_or("[agreement] needs the file itself: maplehook run --config FILE")?;
            let mut began = maplehook_consensus::start_consensus(tier, agreement, file.clone(), member)
                .map_err(|error| error.to_string())?;
            let secret = SecretKey::read(&tier.secret_file).map_err(|e| format!("tier.secret_file: {e}"))?;
            let sealed = Arc::new(Seal::new(&secret));
            staging = proxy.map(|proxy| stages(tier, proxy, file, &mut began)).transpose()?.flatten();
            let shuts = staging.as_ref().map(|staging| staging.status_board.clone());
            board.rollout = shuts.clone().map(|shown| rollout::Desk::new(shown, Arc::clone(&sealed)));
            board.settings = Some(Arc::new(Guard::new(Arc::clone(&sealed), began.admin_client(), shuts)));
            (agreeing, seal) = (Some(began), Some(sealed));
        }
        let places = proxy.map(|proxy| {
            let tier = plan.operator.tier.as_ref();
            let options = FailoverOptions {
                name: tier.map_or_else(|| "balancer".into(), |tier| tier.name.to_string()),
                proxy,
                ready: Arc::clone(&board.ready),
                trips: member.as_ref().map(|member| member.rtts.clone()),
                balancers: tier.map_or(1, |tier| tier.peers.len() + 1),
                history: plan.operator.history.clone(),
            };
            failover::FailoverAgent::start(options, agreeing.as_mut())
        });
        let places = places.transpose()?;
        board.places = places.as_ref().map(|part| Desk::new(part.agent.status_board.clone(), seal));
        let mut led = None;
        if let Some(supervised) = supervised {
            let handed = handed.ok_or("a supervisor's balancer needs the socket that it inherits")?;
            let (release, released) = oneshot::channel();
            let told = plan.control_told;
            let late = plan.control.map(|address| Late { address, told, release: released });
            let private = SocketAddr::from(([127, 0, 0, 1], 0));
            let bound = control::serve(private, board.clone(), late)
                .map_err(|e| format!("operators' calls on {private}: {e}"))?;
            led = Some(supervised.begin(handed, bound, release)?);
        } else if let Some(address) = plan.control {
            let bound = control::serve(address, board.clone(), None)
                .map_err(|e| format!("operators' calls on {address}: {e}"))?;
            tracing::info!("operators may call {}={bound}", plan.control_told);
        }
        let (room, forwarding) = (plan.room.clone(), plan.forwarding.clone());
        let upstreams = Rc::new(Upstreams::new(
            &plan.settings,
            Rc::clone(&descriptors),
            room,
            forwarding,
            Arc::clone(&board.tally),
        ));
        let guarantees: Vec<f64> = plan.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        let clients = descriptors.limit_of(DescriptorClass::Clients);
        let admission =
            ConnectionAdmission::new(plan.operator.admission.clone(), clients, &guarantees, plan.seed);
        let admission = AdmissionController::new(admission, plan.client_timeouts);
        share_descriptors(&descriptors, &upstreams, &admission);
        Ok(Self {
            term,
            listener,
            descriptors,
            upstreams,
            admission,
            balancer,
            board,
            shared,
            member,
            agreeing,
            places,
            staging,
            led,
        })
    }
}

/// A part in changes in stages. Whoever starts programs says which one this is, and how often one has crashed.
fn stages(
    tier: &Tier,
    proxy: &Proxy,
    file: String,
    agreeing: &mut ConsensusService,
) -> Result<Option<Agent>, String> {
    let Some(ways) = agreeing.rollout.take() else { return Ok(None) };
    let link = Link {
        document_status: agreeing.rollout_status.clone(),
        channels: ways,
        active_version: agreeing.active_version.clone(),
        admin: agreeing.admin_client(),
    };
    let names = tier.peers.keys().chain([&tier.name]).map(ToString::to_string).collect();
    let setup = Setup {
        name: tier.name.to_string(),
        names,
        zone: proxy.zones.first().cloned().unwrap_or_default(),
        file,
        digest: std::env::var("MAPLEHOOK_DIGEST").ok(),
        crashes: std::env::var("MAPLEHOOK_CRASHES").ok().and_then(|n| n.parse().ok()).unwrap_or(0),
        link,
    };
    Agent::start(setup).map(Some)
}

fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // As after a crash: the address may still have connections that are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Who gives descriptors up, and who has to know that there are fewer: an idle connection to an upstream
/// costs less than a client.
fn share_descriptors(
    descriptors: &Rc<Descriptors>,
    upstreams: &Rc<Upstreams>,
    admission: &Rc<AdmissionController>,
) {
    let idle = Rc::clone(upstreams);
    descriptors.add_relief(move || idle.close_oldest());
    let clients = Rc::clone(admission);
    descriptors.add_relief(move || clients.evict_one());
    let (of, upstreams, admission) = (Rc::downgrade(descriptors), Rc::clone(upstreams), Rc::clone(admission));
    descriptors.on_limits_changed(move || {
        if let Some(descriptors) = of.upgrade() {
            admission.set_capacity(descriptors.limit_of(DescriptorClass::Clients));
            upstreams.apply_descriptor_limit();
        }
    });
}

//! A follower: an engine with a member that does not vote.

use crate::error::FollowError;
use crate::task::{ActiveRules, FollowerTask};
use maplehook::Engine;
use maplehook::endpoint_list::EndpointList;
use maplehook::source::Fixed;
use maplehook_config::{Agreement, Proxy, Tier};
use maplehook_consensus::{AdminClient, ConsensusService, EnforcementMode};
use maplehook_consensus::{join_cluster, start_consensus};
use maplehook_transport::ClusterNode;
use maplehook_versions::StableIds;
use maplehook_versions::compatibility::conservative;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::sync::{oneshot, watch};

/// The handle of a member that follows the versions of a cluster, which ends when this is dropped.
pub struct Follower {
    /// The address at which other members reach this one.
    pub tier_address: SocketAddr,
    active_rules: watch::Receiver<Arc<ActiveRules>>,
    admin_client: AdminClient,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// Dropped last, so that the other members learn that this one leaves once nothing acts on a version any more.
    _membership: (ConsensusService, ClusterNode),
}

impl Follower {
    /// Returns the rules that are enforced now.
    pub fn active_rules(&self) -> Arc<ActiveRules> {
        Arc::clone(&self.active_rules.borrow())
    }

    /// Returns a channel on which changes of these rules are published.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ActiveRules>> {
        self.active_rules.clone()
    }

    /// Returns a handle for operators' requests.
    pub fn admin_client(&self) -> AdminClient {
        self.admin_client.clone()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        drop(self.shutdown.take());
        if let Some(thread) = self.thread.take() {
            // A thread that has panicked follows nothing any more.
            let _ = thread.join();
        }
    }
}

/// What a follower takes from an operator's file.
struct FollowerConfig {
    proxy: Proxy,
    tier: Tier,
    agreement: Agreement,
}

impl FollowerConfig {
    fn parse(file: &str) -> Result<Self, FollowError> {
        let operator = maplehook_config::parse(file).map_err(FollowError::File)?;
        let proxy = operator.proxy.ok_or(FollowError::Missing("[[class]] and no [[upstream]]"))?;
        let tier = operator.tier.ok_or(FollowError::Missing("[tier]"))?;
        let agreement = tier.agreement.clone().ok_or(FollowError::Missing("[agreement]"))?;
        Ok(Self { proxy, tier, agreement })
    }
}

/// Starts an engine that follows the versions of a cluster, by the text of an operator's file.
///
/// # Errors
///
/// If the file is invalid or lacks a part, or the engine or the member does not start.
pub fn start(file: &str, seed: u64) -> Result<(Engine, Follower), FollowError> {
    let FollowerConfig { proxy, tier, agreement } = FollowerConfig::parse(file)?;
    // These rules hold until this member learns of the active version.
    let initial_rules = conservative(&proxy);
    let mut ids = StableIds::default();
    let resolved = ids.assign(&initial_rules);
    let endpoints = Fixed::listed(initial_rules.listed(|zone| zone));
    let lists = EndpointList::new(endpoints.clone().into_entries());
    let source = lists.clone();
    let engine = Engine::builder(resolved.settings)
        .seed(seed)
        .upstreams(endpoints)
        .source(move |_| Rc::new(source))
        .passages(resolved.passages)
        .forwarding(initial_rules.forwarding.clone())
        .body_memory(initial_rules.bodies)
        .start()
        .map_err(FollowError::Engine)?;
    let mut member = join_cluster(&tier, env!("CARGO_PKG_VERSION"))?;
    let mut consensus = start_consensus(&tier, &agreement, file.to_owned(), &mut member)?;
    // A follower has no part in the shared document.
    consensus.failover = None;
    let (active_rules_sender, active_rules) = watch::channel(Arc::new(ActiveRules {
        epoch: 0,
        label: "0;careful".into(),
        mode: EnforcementMode::Conservative,
        rules: resolved.rules,
    }));
    let (shutdown, shutdown_receiver) = oneshot::channel();
    let task = FollowerTask { engine: engine.handle(), ids, lists, active_rules: active_rules_sender };
    let thread = spawn(task, &consensus, shutdown_receiver)?;
    let follower = Follower {
        tier_address: member.address,
        active_rules,
        admin_client: consensus.admin_client(),
        shutdown: Some(shutdown),
        thread: Some(thread),
        _membership: (consensus, member),
    };
    Ok((engine, follower))
}

fn spawn(
    task: FollowerTask,
    consensus: &ConsensusService,
    shutdown: oneshot::Receiver<()>,
) -> std::io::Result<JoinHandle<()>> {
    let active_version = consensus.active_version.clone();
    let applied_epoch = consensus.applied_epoch.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        .name("follow".into())
        .spawn(move || runtime.block_on(task.run(active_version, applied_epoch, shutdown)))
}

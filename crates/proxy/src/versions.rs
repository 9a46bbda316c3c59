//! Applies configuration versions on the serving thread, without interrupting requests.
//!
//! A class, tenant or zone keeps its id for the life of the process, so that an id in a request in flight means
//! the same before and after a change. Learned state, token buckets and connections survive a change.

use crate::admission::AdmissionController;
use crate::counts::RolloutLink;
use crate::failover::NamesById;
use crate::requests::RequestReader;
use crate::supervised;
use maplehook::endpoint_list::EndpointList;
use maplehook::metrics::RequestMetrics;
use maplehook::parts::driver::Driver;
use maplehook::parts::upstream::Upstreams;
use maplehook::source::Fixed;
use maplehook_canary::Side;
use maplehook_config::Proxy;
use maplehook_consensus::{ActiveVersion, EnforcementMode};
use maplehook_failover_agent::Config;
use maplehook_rollout_agent::{AppliedSide, StagedSettings};
use maplehook_versions::{ResolvedRules, StableIds};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Identity of an applied configuration: epoch, enforcement mode, and the number and side of an applied
/// rollout.
type AppliedKey = (u64, EnforcementMode, Option<(u64, Side)>);

/// Applies each version to the parts of the balancer that depend on it.
pub struct VersionApplier {
    stable_ids: StableIds,
    /// True while another process of this balancer serves as well, so that guarantees are halved.
    has_sibling: bool,
    /// Endpoint list of the configuration; `None` if a registry provides the endpoints.
    pub lists: Option<Rc<EndpointList>>,
    /// Parser of client requests. Each version replaces its rules.
    pub request_reader: Rc<RequestReader>,
    /// Admission controller, which enforces the tenants' guarantees.
    pub admission: Rc<AdmissionController>,
    /// Upstream connections, which depend on the lease.
    pub upstreams: Rc<Upstreams>,
    /// True while the balancer rejects all requests. The readiness endpoint reads this flag.
    pub rejects_all: Arc<AtomicBool>,
    /// Channels to the failover agent.
    pub locality_notifier: LocalityNotifier,
    /// Channels to the rollout agent; `None` without a rollout agent.
    pub rollout: Option<RolloutLink>,
}

/// Channels that pass the applied configuration to the failover agent.
pub struct LocalityNotifier {
    /// Topology, rules and addresses; `None` without localities.
    pub config: watch::Sender<Option<Arc<Config>>>,
    /// Names of classes, tenants and zones by id.
    pub names: watch::Sender<NamesById>,
}

impl LocalityNotifier {
    /// Publishes the configuration that applies from now on, if it differs from the last one.
    pub fn notify(&self, proxy: &Proxy, resolved: &ResolvedRules) {
        let names = NamesById::from_rules(resolved);
        self.names.send_if_modified(|current| {
            let is_changed = *current != names;
            *current = names;
            is_changed
        });
        let config = Config::from_proxy(proxy).map(Arc::new);
        self.config.send_if_modified(|current| {
            let is_changed = *current != config;
            *current = config;
            is_changed
        });
    }
}

impl VersionApplier {
    /// Assigns the ids of the configuration that the process starts with.
    pub fn new(
        initial_proxy: &Proxy,
        lists: Option<Rc<EndpointList>>,
        request_reader: Rc<RequestReader>,
        admission: Rc<AdmissionController>,
        upstreams: Rc<Upstreams>,
        rejects_all: Arc<AtomicBool>,
        locality_notifier: LocalityNotifier,
    ) -> Self {
        let mut stable_ids = StableIds::default();
        locality_notifier.notify(initial_proxy, &stable_ids.assign(initial_proxy));
        Self {
            stable_ids,
            has_sibling: false,
            lists,
            request_reader,
            admission,
            upstreams,
            rejects_all,
            locality_notifier,
            rollout: None,
        }
    }

    /// Applies each new version and stage until the sender of versions is dropped.
    pub async fn follow(
        mut self,
        mut active_version: watch::Receiver<ActiveVersion>,
        applied: watch::Sender<u64>,
        driver: Rc<Driver>,
        counting: Rc<RequestMetrics>,
        mut sibling: Option<watch::Receiver<bool>>,
    ) {
        let mut applied_key: Option<AppliedKey> = None;
        let mut staged_receiver = self.rollout.as_ref().map(|link| link.channels.staged.clone());
        // The epoch is reported as applied only after the driver has read a changed endpoint list.
        let mut list_count = driver.full_list_count();
        let mut pending_list_count: Option<u64> = None;
        loop {
            let now = Instant::now();
            let active = active_version.borrow_and_update().clone();
            let lease_end = active.lease_end.map(Instant::from_std);
            let mode = active.mode(now.into_std());
            let can_expire = mode == EnforcementMode::Current;
            let latest_staged = staged_receiver
                .as_mut()
                .and_then(|staged_receiver| staged_receiver.borrow_and_update().clone());
            // A stage replaces its base version, and only while that version is in force and fully enforced.
            let stage = latest_staged
                .clone()
                .filter(|stage| mode == EnforcementMode::Current && stage.base_version == active.label);
            let key = (active.epoch, mode, stage.as_ref().map(|stage| (stage.number, stage.side)));
            self.upstreams.set_lease(maplehook_config_follower::engine_lease(&active, mode, now.into_std()));
            if applied_key.replace(key) != Some(key) {
                let current = *list_count.borrow_and_update();
                if self.apply(&active, mode, stage.as_deref(), &driver, &counting) {
                    pending_list_count = Some(current);
                }
            }
            pending_list_count =
                pending_list_count.filter(|pending| *list_count.borrow_and_update() <= *pending);
            if pending_list_count.is_none() {
                // Conservative mode also counts as applied, since conservative rules satisfy the phase.
                applied.send_if_modified(|current| std::mem::replace(current, active.epoch) != active.epoch);
                self.acknowledge(latest_staged.as_deref(), stage.as_deref());
            }
            tokio::select! {
                changed = active_version.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = staged_changed(&mut staged_receiver) => {}
                _ = list_count.changed(), if pending_list_count.is_some() => {}
                () = supervised::sibling_changed(sibling.as_mut()) => {
                    self.has_sibling = sibling.as_mut().is_some_and(|sibling| *sibling.borrow_and_update());
                    tracing::info!(two = self.has_sibling, "the number of processes that share the guarantees changed");
                    applied_key = None;
                }
                () = sleep_until(lease_end.unwrap_or(now)), if can_expire && lease_end.is_some() => {}
            }
        }
    }

    /// Reports the side that this balancer is on. Without an applied stage it is the old side.
    fn acknowledge(&self, latest_staged: Option<&StagedSettings>, applied_stage: Option<&StagedSettings>) {
        let Some(link) = &self.rollout else { return };
        let side = applied_stage.map_or(Side::Old, |stage| stage.side);
        let acknowledgement =
            latest_staged.map(|stage| AppliedSide { number: stage.number, step: stage.step, side });
        link.channels
            .applied
            .send_if_modified(|current| std::mem::replace(current, acknowledgement) != acknowledgement);
    }

    /// Applies a version or stage. Returns true if the endpoint list changed and the driver has not read it
    /// yet. The driver's settings change first: the driver must know every class and tenant before requests
    /// use them.
    fn apply(
        &mut self,
        active_version: &ActiveVersion,
        mode: EnforcementMode,
        stage: Option<&StagedSettings>,
        driver: &Rc<Driver>,
        counting: &RequestMetrics,
    ) -> bool {
        let proxy = stage.map_or_else(|| active_version.rules_for(mode), |stage| &stage.rules);
        let resolved = self.stable_ids.assign(proxy);
        self.locality_notifier.notify(proxy, &resolved);
        let guarantees: Vec<f64> = resolved.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        if let Some(link) = &self.rollout {
            link.counts.set_latency_objectives(
                resolved.settings.classes.iter().map(|class| class.latency_objective).collect(),
            );
        }
        let entries = Fixed::listed(proxy.listed(|zone| resolved.zone_id(zone))).into_entries();
        driver.update_settings(
            supervised::share_with_sibling(resolved.settings, self.has_sibling),
            resolved.removed_tenants,
        );
        counting.set_classes(&resolved.class_names);
        self.admission.set_tenant_guarantees(&guarantees);
        self.admission.set_known_networks(proxy.clients.known.clone());
        let list_changed = self.lists.as_ref().is_some_and(|lists| lists.set(entries));
        let label = proxy.version.then(|| match stage.map(|stage| stage.side) {
            Some(Side::New) => active_version.label_for(mode) + ";new",
            Some(Side::Old) | None => active_version.label_for(mode),
        });
        let rejected_networks = proxy.clients.refused.clone();
        self.request_reader.replace_rules(
            resolved.rules,
            resolved.passages,
            rejected_networks,
            label.as_deref(),
        );
        self.request_reader.set_reject_all(mode == EnforcementMode::RejectAll);
        self.rejects_all.store(mode == EnforcementMode::RejectAll, Ordering::Release);
        match mode {
            EnforcementMode::Current => {
                tracing::info!(version = active_version.label, stage = ?stage.map(|stage| (stage.number, stage.side)), "in force here");
            }
            EnforcementMode::Conservative => tracing::warn!(
                version = active_version.label,
                "no valid lease: conservative rules, without retries and hedges, apply until there is one"
            ),
            EnforcementMode::RejectAll => {
                tracing::warn!(
                    version = active_version.label,
                    "no valid lease: all requests are rejected until there is one"
                )
            }
        }
        list_changed
    }
}

async fn staged_changed(staged: &mut Option<watch::Receiver<Option<Arc<StagedSettings>>>>) {
    let is_open = match staged {
        Some(staged) => staged.changed().await.is_ok(),
        None => false,
    };
    if !is_open {
        std::future::pending().await
    }
}

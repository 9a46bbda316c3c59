//! The version in force, on the thread that serves: new rules take the place of the old ones while requests go on.
//!
//! A class, a tenant and a zone have one number for the life of the process, so that a request under way means the same before
//! and after. Learned state, tokens and connections stay.

use crate::admission::AdmissionController;
use crate::counts::RolloutLink;
use crate::failover::NamesById;
use crate::requests::RequestReader;
use crate::supervised;
use maplehook::lists::Lists;
use maplehook::parts::driver::Driver;
use maplehook::parts::upstream::Upstreams;
use maplehook::source::Fixed;
use maplehook::tally::Counting;
use maplehook_canary::Side;
use maplehook_config::Proxy;
use maplehook_consensus::{ActiveVersion, EnforcementMode};
use maplehook_failover_agent::Config;
use maplehook_rollout_agent::{Acked, Staged};
use maplehook_versions::{ResolvedRules, StableIds};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// What is acted on: the epoch, how it is read, and the change and side of a stage.
type AppliedKey = (u64, EnforcementMode, Option<(u64, Side)>);

/// Whom a version concerns.
pub struct VersionApplier {
    stable_ids: StableIds,
    /// Whether another process of this balancer grants, too.
    has_sibling: bool,
    /// The list, where it is the file's.
    pub lists: Option<Rc<Lists>>,
    /// The reader of requests.
    pub requests: Rc<RequestReader>,
    /// The door.
    pub admission: Rc<AdmissionController>,
    /// The connections.
    pub upstreams: Rc<Upstreams>,
    /// Whether everything is refused, as operators hear.
    pub rejects_all: Arc<AtomicBool>,
    /// The places of the version in force, and the names that numbers have.
    pub localities: LocalityNotifier,
    /// Changes in stages, where there are any.
    pub rollout: Option<RolloutLink>,
}

/// Whoever has a part in places hears of versions by these.
pub struct LocalityNotifier {
    /// What places rest on.
    pub config: watch::Sender<Option<Arc<Config>>>,
    /// Names of classes, tenants and zones.
    pub names: watch::Sender<NamesById>,
}

impl LocalityNotifier {
    /// A version is in force from now on, or a file from the start on.
    pub fn notify(&self, proxy: &Proxy, resolved: &ResolvedRules) {
        let names = NamesById::from_rules(resolved);
        self.names.send_if_modified(|current| {
            let is_changed = *current != names;
            *current = names;
            is_changed
        });
        let config = Config::of(proxy).map(Arc::new);
        self.config.send_if_modified(|current| {
            let is_changed = *current != config;
            *current = config;
            is_changed
        });
    }
}

impl VersionApplier {
    /// With the numbers that a process has from its start on.
    pub fn new(
        initial_proxy: &Proxy,
        lists: Option<Rc<Lists>>,
        requests: Rc<RequestReader>,
        admission: Rc<AdmissionController>,
        upstreams: Rc<Upstreams>,
        rejects_all: Arc<AtomicBool>,
        localities: LocalityNotifier,
    ) -> Self {
        let mut stable_ids = StableIds::default();
        localities.notify(initial_proxy, &stable_ids.assign(initial_proxy));
        Self {
            stable_ids,
            has_sibling: false,
            lists,
            requests,
            admission,
            upstreams,
            rejects_all,
            localities,
            rollout: None,
        }
    }

    /// Follows what is to be acted on, as long as the process lives.
    pub async fn follow(
        mut self,
        mut active_version: watch::Receiver<ActiveVersion>,
        applied: watch::Sender<u64>,
        driver: Rc<Driver>,
        counting: Rc<Counting>,
        mut sibling: Option<watch::Receiver<bool>>,
    ) {
        let mut applied_key: Option<AppliedKey> = None;
        let mut staged_receiver = self.rollout.as_ref().map(|link| link.channels.staged.clone());
        // A list that was set acts once the decisions have been told it, and only then is the step acted on.
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
            // It takes the place of this very version, as long as that is acted on in full.
            let stage = latest_staged
                .clone()
                .filter(|stage| mode == EnforcementMode::Current && stage.rests_on == active.label);
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
                // What is acted on careful reading is within the step, too.
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
                    tracing::info!(has_sibling = self.has_sibling, "guarantees are shared with another process, or no more");
                    applied_key = None;
                }
                () = sleep_until(lease_end.unwrap_or(now)), if can_expire && lease_end.is_some() => {}
            }
        }
    }

    /// Says on which side this balancer stands: whatever is not the new one's is as before.
    fn acknowledge(&self, latest_staged: Option<&Staged>, applied_stage: Option<&Staged>) {
        let Some(link) = &self.rollout else { return };
        let side = applied_stage.map_or(Side::Old, |stage| stage.side);
        let acknowledgement =
            latest_staged.map(|stage| Acked { number: stage.number, step: stage.step, side });
        link.channels
            .acked
            .send_if_modified(|current| std::mem::replace(current, acknowledgement) != acknowledgement);
    }

    /// The decisions come first: no request may come by a class or tenant that they do not know. Whether the list is another
    /// one, which the decisions are still to be told.
    fn apply(
        &mut self,
        active_version: &ActiveVersion,
        mode: EnforcementMode,
        stage: Option<&Staged>,
        driver: &Rc<Driver>,
        counting: &Counting,
    ) -> bool {
        let proxy = stage.map_or_else(|| active_version.rules_for(mode), |stage| &stage.rules);
        let resolved = self.stable_ids.assign(proxy);
        self.localities.notify(proxy, &resolved);
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
        counting.name(&resolved.class_names);
        self.admission.set_tenant_guarantees(&guarantees);
        self.admission.set_known_networks(proxy.clients.known.clone());
        let list_changed = self.lists.as_ref().is_some_and(|lists| lists.set(entries));
        let label = proxy.version.then(|| match stage.map(|stage| stage.side) {
            Some(Side::New) => active_version.label_for(mode) + ";new",
            Some(Side::Old) | None => active_version.label_for(mode),
        });
        let rejected_networks = proxy.clients.refused.clone();
        self.requests.replace_rules(resolved.rules, resolved.passages, rejected_networks, label.as_deref());
        self.requests.set_reject_all(mode == EnforcementMode::RejectAll);
        self.rejects_all.store(mode == EnforcementMode::RejectAll, Ordering::Release);
        match mode {
            EnforcementMode::Current => {
                tracing::info!(version = active_version.label, stage = ?stage.map(|stage| (stage.number, stage.side)), "in force here");
            }
            EnforcementMode::Conservative => tracing::warn!(
                version = active_version.label,
                "no word from the other balancers: nothing is sent twice until there is"
            ),
            EnforcementMode::RejectAll => {
                tracing::warn!(
                    version = active_version.label,
                    "no word from the other balancers: all is refused"
                )
            }
        }
        list_changed
    }
}

async fn staged_changed(staged: &mut Option<watch::Receiver<Option<Arc<Staged>>>>) {
    let is_open = match staged {
        Some(staged) => staged.changed().await.is_ok(),
        None => false,
    };
    if !is_open {
        std::future::pending().await
    }
}

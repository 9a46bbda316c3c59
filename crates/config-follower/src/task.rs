//! The task that lets an engine follow the active version.

use crate::engine_lease::engine_lease;
use maplehook::endpoint_list::EndpointList;
use maplehook::source::Fixed;
use maplehook::{AdoptError, Handle, Lease, Version};
use maplehook_consensus::{ActiveVersion, EnforcementMode};
use maplehook_http_semantics::Rules;
use maplehook_versions::StableIds;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep_until;

/// The rules that a follower enforces.
pub struct ActiveRules {
    /// The epoch of the phase.
    pub epoch: u64,
    /// The version, as balancers name it in `X-Maplehook-Version`.
    pub label: String,
    /// Which of the version's rules are enforced.
    pub mode: EnforcementMode,
    /// How request heads are classified. Classes and tenants have the engine's ids.
    pub rules: Rules,
}

/// The state of the task.
pub(crate) struct FollowerTask {
    pub(crate) engine: Handle,
    pub(crate) ids: StableIds,
    pub(crate) lists: EndpointList,
    pub(crate) active_rules: watch::Sender<Arc<ActiveRules>>,
}

impl FollowerTask {
    /// Runs until it is stopped, or the engine or the consensus service has ended.
    pub(crate) async fn run(
        mut self,
        mut active_version: watch::Receiver<ActiveVersion>,
        applied_epoch: watch::Sender<u64>,
        mut shutdown: oneshot::Receiver<()>,
    ) {
        let mut enforced: Option<(u64, EnforcementMode)> = None;
        loop {
            let now = Instant::now();
            let version = active_version.borrow_and_update().clone();
            let mode = version.mode(now);
            let lease = engine_lease(&version, mode, now);
            if enforced == Some((version.epoch, mode)) {
                self.engine.lease(lease).await;
            } else {
                if self.adopt(&version, mode, lease).await.is_err() {
                    return;
                }
                enforced = Some((version.epoch, mode));
                // The epoch is reported to the other members only once the engine acts on it.
                applied_epoch.send_replace(version.epoch);
            }
            let lease_end = version.lease_end.filter(|_| mode == EnforcementMode::Current);
            tokio::select! {
                _ = &mut shutdown => return,
                changed = active_version.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = sleep_until(lease_end.unwrap_or(now).into()), if lease_end.is_some() => {}
            }
        }
    }

    /// Has the engine adopt a version, and publishes its rules.
    async fn adopt(
        &mut self,
        active: &ActiveVersion,
        mode: EnforcementMode,
        lease: Lease,
    ) -> Result<(), AdoptError> {
        let proxy = active.rules_for(mode);
        let resolved = self.ids.assign(proxy);
        let list = Fixed::listed(proxy.listed(|zone| resolved.zone_id(zone))).into_entries();
        let version = Version {
            settings: resolved.settings,
            removed_tenants: resolved.removed_tenants,
            passages: resolved.passages,
            lease,
            list: Some((self.lists.clone(), list)),
        };
        let label = active.label_for(mode);
        let adopted = self.engine.adopt(version).await;
        match &adopted {
            Ok(()) => tracing::info!(version = label, "version adopted"),
            Err(error) => tracing::warn!(version = label, %error, "version not adopted"),
        }
        let active_rules = ActiveRules { epoch: active.epoch, label, mode, rules: resolved.rules };
        self.active_rules.send_replace(Arc::new(active_rules));
        adopted
    }
}

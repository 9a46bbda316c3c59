//! The version in force, on the thread that serves: new rules take the place of the old ones while requests go on.
//!
//! A class, a tenant and a zone have one number for the life of the process, so that a request under way means the same before
//! and after. Learned state, tokens and connections stay.

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

/// What is acted on: the epoch, how it is read, and the change and side of a stage.
type Present = (u64, EnforcementMode, Option<(u64, Side)>);

/// Whom a version concerns.
pub struct Versions {
    numbers: StableIds,
    /// Whether another process of this balancer grants, too.
    two: bool,
    /// The list, where it is the file's.
    pub lists: Option<Rc<EndpointList>>,
    /// The reader of requests.
    pub requests: Rc<RequestReader>,
    /// The door.
    pub admission: Rc<AdmissionController>,
    /// The connections.
    pub upstreams: Rc<Upstreams>,
    /// Whether everything is refused, as operators hear.
    pub refuses: Arc<AtomicBool>,
    /// The places of the version in force, and the names that numbers have.
    pub places: PlacesOf,
    /// Changes in stages, where there are any.
    pub stages: Option<RolloutLink>,
}

/// Whoever has a part in places hears of versions by these.
pub struct PlacesOf {
    /// What places rest on.
    pub config: watch::Sender<Option<Arc<Config>>>,
    /// Names of classes, tenants and zones.
    pub names: watch::Sender<NamesById>,
}

impl PlacesOf {
    /// A version is in force from now on, or a file from the start on.
    pub fn tell(&self, proxy: &Proxy, numbered: &ResolvedRules) {
        let names = NamesById::from_rules(numbered);
        self.names.send_if_modified(|before| {
            let news = *before != names;
            *before = names;
            news
        });
        let config = Config::from_proxy(proxy).map(Arc::new);
        self.config.send_if_modified(|before| {
            let news = *before != config;
            *before = config;
            news
        });
    }
}

impl Versions {
    /// With the numbers that a process has from its start on.
    pub fn new(
        began_with: &Proxy,
        lists: Option<Rc<EndpointList>>,
        requests: Rc<RequestReader>,
        admission: Rc<AdmissionController>,
        upstreams: Rc<Upstreams>,
        refuses: Arc<AtomicBool>,
        places: PlacesOf,
    ) -> Self {
        let mut numbers = StableIds::default();
        places.tell(began_with, &numbers.assign(began_with));
        Self { numbers, two: false, lists, requests, admission, upstreams, refuses, places, stages: None }
    }

    /// Follows what is to be acted on, as long as the process lives.
    pub async fn follow(
        mut self,
        mut acting: watch::Receiver<ActiveVersion>,
        applied: watch::Sender<u64>,
        driver: Rc<Driver>,
        counting: Rc<RequestMetrics>,
        mut beside: Option<watch::Receiver<bool>>,
    ) {
        let mut present: Option<Present> = None;
        let mut staged = self.stages.as_ref().map(|part| part.channels.staged.clone());
        // A list that was set acts once the decisions have been told it, and only then is the step acted on.
        let mut told = driver.full_list_count();
        let mut waits: Option<u64> = None;
        loop {
            let now = Instant::now();
            let wanted = acting.borrow_and_update().clone();
            let until = wanted.lease_end.map(Instant::from_std);
            let mode = wanted.mode(now.into_std());
            let holds = mode == EnforcementMode::Current;
            let told_staged = staged.as_mut().and_then(|staged| staged.borrow_and_update().clone());
            // It takes the place of this very version, as long as that is acted on in full.
            let stage = told_staged
                .clone()
                .filter(|stage| mode == EnforcementMode::Current && stage.base_version == wanted.label);
            let key = (wanted.epoch, mode, stage.as_ref().map(|stage| (stage.number, stage.side)));
            self.upstreams.set_lease(maplehook_config_follower::engine_lease(&wanted, mode, now.into_std()));
            if present.replace(key) != Some(key) {
                let before = *told.borrow_and_update();
                if self.apply(&wanted, mode, stage.as_deref(), &driver, &counting) {
                    waits = Some(before);
                }
            }
            waits = waits.filter(|before| *told.borrow_and_update() <= *before);
            if waits.is_none() {
                // What is acted on careful reading is within the step, too.
                applied.send_if_modified(|before| std::mem::replace(before, wanted.epoch) != wanted.epoch);
                self.ack(told_staged.as_deref(), stage.as_deref());
            }
            tokio::select! {
                changed = acting.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = changed(&mut staged) => {}
                _ = told.changed(), if waits.is_some() => {}
                () = supervised::changes(beside.as_mut()) => {
                    self.two = beside.as_mut().is_some_and(|beside| *beside.borrow_and_update());
                    tracing::info!(two = self.two, "guarantees are shared with another process, or no more");
                    present = None;
                }
                () = sleep_until(until.unwrap_or(now)), if holds && until.is_some() => {}
            }
        }
    }

    /// Says on which side this balancer stands: whatever is not the new one's is as before.
    fn ack(&self, told: Option<&StagedSettings>, acts: Option<&StagedSettings>) {
        let Some(part) = &self.stages else { return };
        let side = acts.map_or(Side::Old, |stage| stage.side);
        let acked = told.map(|stage| AppliedSide { number: stage.number, step: stage.step, side });
        part.channels.applied.send_if_modified(|before| std::mem::replace(before, acked) != acked);
    }

    /// The decisions come first: no request may come by a class or tenant that they do not know. Whether the list is another
    /// one, which the decisions are still to be told.
    fn apply(
        &mut self,
        acting: &ActiveVersion,
        mode: EnforcementMode,
        stage: Option<&StagedSettings>,
        driver: &Rc<Driver>,
        counting: &RequestMetrics,
    ) -> bool {
        let proxy = stage.map_or_else(|| acting.rules_for(mode), |stage| &stage.rules);
        let numbered = self.numbers.assign(proxy);
        self.places.tell(proxy, &numbered);
        let guarantees: Vec<f64> = numbered.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        if let Some(part) = &self.stages {
            part.counts.set_latency_objectives(
                numbered.settings.classes.iter().map(|class| class.latency_objective).collect(),
            );
        }
        let entries = Fixed::listed(proxy.listed(|zone| numbered.zone_id(zone))).into_entries();
        driver.update_settings(supervised::halved(numbered.settings, self.two), numbered.removed_tenants);
        counting.set_classes(&numbered.class_names);
        self.admission.set_tenant_guarantees(&guarantees);
        self.admission.set_known_networks(proxy.clients.known.clone());
        let listed = self.lists.as_ref().is_some_and(|lists| lists.set(entries));
        let label = proxy.version.then(|| match stage.map(|stage| stage.side) {
            Some(Side::New) => acting.label_for(mode) + ";new",
            Some(Side::Old) | None => acting.label_for(mode),
        });
        let refused = proxy.clients.refused.clone();
        self.requests.replace_rules(numbered.rules, numbered.passages, refused, label.as_deref());
        self.requests.set_reject_all(mode == EnforcementMode::RejectAll);
        self.refuses.store(mode == EnforcementMode::RejectAll, Ordering::Release);
        match mode {
            EnforcementMode::Current => {
                tracing::info!(version = acting.label, stage = ?stage.map(|stage| (stage.number, stage.side)), "in force here");
            }
            EnforcementMode::Conservative => tracing::warn!(
                version = acting.label,
                "no word from the other balancers: nothing is sent twice until there is"
            ),
            EnforcementMode::RejectAll => {
                tracing::warn!(version = acting.label, "no word from the other balancers: all is refused")
            }
        }
        listed
    }
}

async fn changed(staged: &mut Option<watch::Receiver<Option<Arc<StagedSettings>>>>) {
    let told = match staged {
        Some(staged) => staged.changed().await.is_ok(),
        None => false,
    };
    if !told {
        std::future::pending().await
    }
}

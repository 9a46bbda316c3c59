//! A program that embeds the engine takes part in the versions on which balancers agree: as a member that does not vote.
//!
//! [`start`] reads an operator's file with `[tier]` and `[agreement]`, starts an [`Engine`] by its rules, read carefully until the
//! others are heard of, and has the engine follow whatever is agreed. The file is a whole one; nobody listens at its
//! `listen.address`. [`Follower::followed`] says by which rules heads are read now; a call keeps the numbers that it was read
//! under. `docs/AGREEMENT.md` has the rest.

use maplehook::lists::Lists;
use maplehook::source::Fixed;
use maplehook::{AdoptError, Engine, Handle, Lease, StartError, Version};
use maplehook_config::{Faults, Proxy};
use maplehook_consensus::{ActiveVersion, AdminClient, ConsensusService, EnforcementMode};
use maplehook_http_semantics::Rules;
use maplehook_transport::ClusterNode;
use maplehook_versions::compatibility::conservative;
use maplehook_versions::stable_ids::StableIds;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep_until;

/// Why nothing is followed.
#[derive(Debug)]
pub enum FollowError {
    /// The file has these faults.
    File(Faults),
    /// The file lacks this.
    Lacks(&'static str),
    /// The engine does not start.
    Engine(StartError),
    /// The part in the tier, or its thread, does not start.
    Tier(String),
}

impl fmt::Display for FollowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(faults) => faults.fmt(f),
            Self::Lacks(what) => write!(f, "the file has no {what}"),
            Self::Engine(e) => e.fmt(f),
            Self::Tier(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for FollowError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::File(faults) => Some(faults),
            Self::Engine(e) => Some(e),
            _ => None,
        }
    }
}

/// What is acted on.
pub struct Followed {
    /// The epoch of the step.
    pub epoch: u64,
    /// The version, as balancers tell it in `X-Maplehook-Version`.
    pub label: String,
    /// How it is read.
    pub mode: EnforcementMode,
    /// How heads are read: their classes and tenants are the engine's numbers.
    pub rules: Rules,
}

/// A part in a tier and in what it agrees on; it ends when this is dropped.
pub struct Follower {
    /// Where other balancers reach it.
    pub tier_address: SocketAddr,
    followed: watch::Receiver<Arc<Followed>>,
    wishes: AdminClient,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// Last, so that the others hear that it goes once nothing is acted on any more.
    _parts: (ConsensusService, ClusterNode),
}

impl Follower {
    /// What is acted on now.
    pub fn followed(&self) -> Arc<Followed> {
        Arc::clone(&self.followed.borrow())
    }

    /// The same, for whoever waits for changes.
    pub fn changes(&self) -> watch::Receiver<Arc<Followed>> {
        self.followed.clone()
    }

    /// By which it can be asked how the versions stand, and be told wishes.
    pub fn wishes(&self) -> AdminClient {
        self.wishes.clone()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // One that has panicked follows nothing any more.
            let _ = thread.join();
        }
    }
}

/// Starts an engine that follows what the tier of a file agrees on.
pub fn start(file: &str, seed: u64) -> Result<(Engine, Follower), FollowError> {
    let operator = maplehook_config::parse(file).map_err(FollowError::File)?;
    let proxy = operator.proxy.ok_or(FollowError::Lacks("[[class]] and no [[upstream]]"))?;
    let tier = operator.tier.ok_or(FollowError::Lacks("[tier]"))?;
    let agreement = tier.agreement.clone().ok_or(FollowError::Lacks("[agreement]"))?;
    // Until it is known what the others act on.
    let begins = conservative(&proxy);
    let mut numbers = StableIds::default();
    let numbered = numbers.assign(&begins);
    let fixed = Fixed::listed(begins.listed(|zone| zone));
    let lists = Lists::new(fixed.clone().into_entries());
    let listed = lists.clone();
    let engine = Engine::builder(numbered.settings)
        .seed(seed)
        .upstreams(fixed)
        .source(move |_| Rc::new(listed))
        .passages(numbered.passages)
        .forwarding(begins.forwarding.clone())
        .bodies(begins.bodies)
        .start()
        .map_err(FollowError::Engine)?;
    let mut member =
        maplehook_consensus::join(&tier, env!("CARGO_PKG_VERSION")).map_err(FollowError::Tier)?;
    let agreeing = maplehook_consensus::agree(&tier, &agreement, file.to_owned(), &mut member);
    let mut agreeing = agreeing.map_err(FollowError::Tier)?;
    // It makes no common document, and acts by none.
    agreeing.failover = None;
    let first = Followed {
        epoch: 0,
        label: "0;careful".into(),
        mode: EnforcementMode::Conservative,
        rules: numbered.rules,
    };
    let (tell, followed) = watch::channel(Arc::new(first));
    let follows = Follows { handle: engine.handle(), numbers, lists, tell };
    let (acting, applied) = (agreeing.active_version.clone(), agreeing.applied_epoch.clone());
    let (stop, stopped) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| FollowError::Tier(e.to_string()))?;
    let thread = std::thread::Builder::new()
        .name("follow".into())
        .spawn(move || runtime.block_on(follows.run(acting, applied, stopped)))
        .map_err(|e| FollowError::Tier(e.to_string()))?;
    let follower = Follower {
        tier_address: member.address,
        followed,
        wishes: agreeing.admin_client(),
        stop: Some(stop),
        thread: Some(thread),
        _parts: (agreeing, member),
    };
    Ok((engine, follower))
}

/// Until when attempts may be written by what is acted on, which is looked at when they are.
pub fn lease(acting: &ActiveVersion, mode: EnforcementMode, now: Instant) -> Lease {
    match (mode, acting.lease_end) {
        (EnforcementMode::Current, Some(until)) => {
            Lease::Until { until: until.into(), first_too: acting.conservative_rules.is_none() }
        }
        // Whoever is to refuse writes nothing, of what it holds neither.
        (EnforcementMode::RejectAll, _) => Lease::Until { until: now.into(), first_too: true },
        _ => Lease::Free,
    }
}

/// Has an engine follow.
struct Follows {
    handle: Handle,
    numbers: StableIds,
    lists: Lists,
    tell: watch::Sender<Arc<Followed>>,
}

impl Follows {
    async fn run(
        mut self,
        mut acting: watch::Receiver<ActiveVersion>,
        applied: watch::Sender<u64>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let mut present: Option<(u64, EnforcementMode)> = None;
        loop {
            let now = Instant::now();
            let wanted = acting.borrow_and_update().clone();
            let mode = wanted.mode(now);
            let lease = lease(&wanted, mode, now);
            if present == Some((wanted.epoch, mode)) {
                self.handle.lease(lease).await;
            } else {
                if self.adopt(&wanted, mode, lease).await.is_err() {
                    return;
                }
                present = Some((wanted.epoch, mode));
                // Only now do the others hear that this step is acted on.
                applied.send_replace(wanted.epoch);
            }
            let until = wanted.lease_end.filter(|_| mode == EnforcementMode::Current);
            tokio::select! {
                _ = &mut stopped => return,
                changed = acting.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = sleep_until(until.unwrap_or(now).into()), if until.is_some() => {}
            }
        }
    }

    async fn adopt(
        &mut self,
        wanted: &ActiveVersion,
        mode: EnforcementMode,
        lease: Lease,
    ) -> Result<(), AdoptError> {
        let proxy: &Proxy = wanted.rules_for(mode);
        let numbered = self.numbers.assign(proxy);
        let list = Fixed::listed(proxy.listed(|zone| numbered.zone_id(zone))).into_entries();
        let version = Version {
            settings: numbered.settings,
            gone: numbered.removed_tenants,
            passages: numbered.passages,
            lease,
            list: Some((self.lists.clone(), list)),
        };
        let adopted = self.handle.adopt(version).await;
        match &adopted {
            Ok(()) => tracing::info!(version = wanted.label_for(mode), "in force here"),
            Err(e) => tracing::warn!(version = wanted.label_for(mode), "not taken over: {e}"),
        }
        let (epoch, label, rules) = (wanted.epoch, wanted.label_for(mode), numbered.rules);
        self.tell.send_replace(Arc::new(Followed { epoch, label, mode, rules }));
        adopted
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn whoever_is_to_refuse_writes_nothing_that_it_holds() {
        let file = "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'all'\npath = '/**'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n";
        let rules = Arc::new(maplehook_config::parse(file).unwrap().proxy.unwrap());
        let now = Instant::now();
        let until = now + Duration::from_secs(2);
        let acting = |careful: bool| ActiveVersion {
            epoch: 1,
            label: "1".into(),
            rules: Arc::clone(&rules),
            lease_end: Some(until),
            conservative_rules: careful.then(|| Arc::clone(&rules)),
            lacks_lease: false,
        };
        let after = until + Duration::from_millis(1);
        let (careful, refuses) = (acting(true), acting(false));
        assert_eq!(
            lease(&careful, careful.mode(now), now),
            Lease::Until { until: until.into(), first_too: false }
        );
        assert_eq!(
            lease(&refuses, refuses.mode(now), now),
            Lease::Until { until: until.into(), first_too: true }
        );
        assert_eq!(
            lease(&careful, careful.mode(after), after),
            Lease::Free,
            "its rules are the careful ones"
        );
        assert_eq!(
            lease(&refuses, refuses.mode(after), after),
            Lease::Until { until: after.into(), first_too: true }
        );
    }
}

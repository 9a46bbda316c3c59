//! By what a balancer acts, and how it stands there.

use maplehook_config::Proxy;
use maplehook_versions::compatibility::conservative;
use maplehook_versions::lease_manager::LeaseExpiryPolicy;
use maplehook_versions::version_state::Phase;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// By what to act.
#[derive(Clone, Debug)]
pub struct ActiveVersion {
    /// The epoch.
    pub epoch: u64,
    /// The version in force, or the two between which a change stands: `3`, `3-4`; `0` before the first.
    pub label: String,
    /// The rules, as long as the lease lasts.
    pub rules: Arc<Proxy>,
    /// Until when; `None`: for good.
    pub lease_end: Option<Instant>,
    /// The rules after that; `None`: everything is refused.
    pub conservative_rules: Option<Arc<Proxy>>,
    /// There is no lease at all.
    pub lacks_lease: bool,
}

/// Which of the rules are acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnforcementMode {
    /// Those of the step.
    Current,
    /// The careful reading of them.
    Conservative,
    /// None: everything is refused.
    RejectAll,
}

impl ActiveVersion {
    /// What is acted on now.
    pub fn mode(&self, now: Instant) -> EnforcementMode {
        let holds = !self.lacks_lease && self.lease_end.is_none_or(|until| now < until);
        match &self.conservative_rules {
            _ if holds => EnforcementMode::Current,
            Some(_) => EnforcementMode::Conservative,
            None => EnforcementMode::RejectAll,
        }
    }

    /// The rules of a mode.
    pub fn rules_for(&self, mode: EnforcementMode) -> &Arc<Proxy> {
        self.conservative_rules
            .as_ref()
            .filter(|_| mode == EnforcementMode::Conservative)
            .unwrap_or(&self.rules)
    }

    /// How a mode is told to others.
    pub fn label_for(&self, mode: EnforcementMode) -> String {
        match mode {
            EnforcementMode::Current => self.label.clone(),
            _ => format!("{};careful", self.label),
        }
    }
}

/// How it stands here.
#[derive(Clone, Debug)]
pub struct LocalStatus {
    /// The version in force here; 0 if none.
    pub active_version: u64,
    /// The epoch that is acted on.
    pub epoch: u64,
    /// The step.
    pub phase: Phase,
    /// The digest of the version in force, or of the own file before the first.
    pub digest: String,
    /// What is left of the lease.
    pub lease_remaining: Option<Duration>,
    /// Whether there is none.
    pub lacks_lease: bool,
    /// Whom it takes for the leader.
    pub leader: Option<String>,
    /// What is wrong with its part in votes, if anything is.
    pub voter_problem: Option<String>,
}

/// Before anything was heard.
pub(crate) fn initial(own: &Arc<Proxy>, cut_off: LeaseExpiryPolicy) -> ActiveVersion {
    let careful = (cut_off != LeaseExpiryPolicy::Reject).then(|| Arc::new(conservative(own)));
    ActiveVersion {
        epoch: 0,
        label: "0".into(),
        rules: Arc::clone(own),
        lease_end: None,
        conservative_rules: careful,
        lacks_lease: true,
    }
}

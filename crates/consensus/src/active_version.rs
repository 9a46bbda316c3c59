//! The version that a member acts on, and the rules that follow from it with and without a lease.

use maplehook_config::Proxy;
use maplehook_versions::LeaseExpiryPolicy;
use maplehook_versions::compatibility::conservative;
use std::sync::Arc;
use std::time::Instant;

/// The version that a member acts on.
#[derive(Clone, Debug)]
pub struct ActiveVersion {
    /// The epoch of the phase.
    pub epoch: u64,
    /// The version's number, or both numbers during a transition: `3`, `3-4`; `0` before the first version.
    pub label: String,
    /// The rules that hold while the lease does.
    pub rules: Arc<Proxy>,
    /// The end of the lease; `None` if it never expires.
    pub lease_end: Option<Instant>,
    /// The rules that hold after the lease; `None` if everything is rejected then.
    pub conservative_rules: Option<Arc<Proxy>>,
    /// Whether the member has never had a lease.
    pub lacks_lease: bool,
}

/// Which rules a member enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnforcementMode {
    /// The rules of the current phase.
    Current,
    /// The conservative reading of these rules.
    Conservative,
    /// None: every request is rejected.
    RejectAll,
}

impl ActiveVersion {
    /// Creates the state of a member that has received nothing from a leader yet.
    pub(crate) fn initial(file_rules: &Arc<Proxy>, policy: LeaseExpiryPolicy) -> Self {
        Self {
            epoch: 0,
            label: "0".into(),
            rules: Arc::clone(file_rules),
            lease_end: None,
            conservative_rules: conservative_unless_rejecting(file_rules, policy),
            lacks_lease: true,
        }
    }

    /// Returns the mode at this time.
    pub fn mode(&self, now: Instant) -> EnforcementMode {
        let has_lease = !self.lacks_lease && self.lease_end.is_none_or(|end| now < end);
        match &self.conservative_rules {
            _ if has_lease => EnforcementMode::Current,
            Some(_) => EnforcementMode::Conservative,
            None => EnforcementMode::RejectAll,
        }
    }

    /// Returns the rules of a mode.
    pub fn rules_for(&self, mode: EnforcementMode) -> &Arc<Proxy> {
        let conservative = self.conservative_rules.as_ref();
        conservative.filter(|_| mode == EnforcementMode::Conservative).unwrap_or(&self.rules)
    }

    /// Returns the label by which others are told of the version in this mode.
    pub fn label_for(&self, mode: EnforcementMode) -> String {
        match mode {
            EnforcementMode::Current => self.label.clone(),
            _ => format!("{};careful", self.label),
        }
    }
}

/// Returns the rules for the time after a lease, unless the policy rejects everything then.
pub(crate) fn conservative_unless_rejecting(
    rules: &Arc<Proxy>,
    policy: LeaseExpiryPolicy,
) -> Option<Arc<Proxy>> {
    (policy != LeaseExpiryPolicy::Reject).then(|| Arc::new(conservative(rules)))
}

//! A member's side of leases on versions: the phase that it acts on, and for how long it may.

use crate::lease_times::{LeaseExpiryPolicy, LeaseTimes, MAX_PENDING_REQUESTS};
use crate::version_state::{Phase, Version, VersionState};
use std::time::Duration;

/// A phase with the versions that a member needs to act on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PhaseUpdate {
    /// The epoch of the phase.
    pub epoch: u64,
    /// The phase.
    pub phase: Phase,
    /// The versions that it names.
    pub versions: Vec<Version>,
}

impl PhaseUpdate {
    /// Returns the update that a leader sends.
    pub fn from_state(state: &VersionState) -> Self {
        let versions = state.required_versions().into_iter().cloned().collect();
        Self { epoch: state.epoch, phase: state.phase, versions }
    }
}

/// The rules that a member enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveRules {
    /// Those of the latest phase.
    Phase(Phase),
    /// Conservative rules, because the lease has expired or there never was one.
    Conservative,
    /// None: all requests are rejected, because the lease has expired or there never was one.
    RejectAll,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    request_id: u64,
    /// The time of the clock before the request was sent.
    requested_at: Duration,
}

/// The phase that a member has been told, and its lease on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    times: LeaseTimes,
    expiry_policy: LeaseExpiryPolicy,
    current: Option<PhaseUpdate>,
    lease_end: Option<Duration>,
    pending_requests: Vec<PendingRequest>,
    last_request_id: u64,
    renewal_due: Duration,
}

impl LeaseHolder {
    /// Creates the state of a member that has been told nothing.
    pub fn new(times: LeaseTimes, expiry_policy: LeaseExpiryPolicy) -> Self {
        Self {
            times,
            expiry_policy,
            current: None,
            lease_end: None,
            pending_requests: Vec::new(),
            last_request_id: 0,
            renewal_due: Duration::ZERO,
        }
    }

    /// Returns the phase that this member has been told last.
    pub fn current(&self) -> Option<&PhaseUpdate> {
        self.current.as_ref()
    }

    /// Returns the epoch of that phase; 0 if there is none.
    pub fn epoch(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.epoch)
    }

    /// Returns the time at which the next request for a lease is due.
    pub fn renewal_due(&self) -> Duration {
        self.renewal_due
    }

    /// Begins a request for a lease and returns its number. `now` must be read before the request is sent.
    pub fn begin_request(&mut self, now: Duration) -> u64 {
        self.last_request_id += 1;
        self.renewal_due = now + self.times.renew_interval;
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.remove(0);
        }
        self.pending_requests.push(PendingRequest { request_id: self.last_request_id, requested_at: now });
        self.last_request_id
    }

    /// Accepts a lease in this epoch, with the phase if that is another one than this member was told last. Returns whether it is.
    pub fn accept_grant(&mut self, request_id: u64, epoch: u64, update: Option<PhaseUpdate>) -> bool {
        let mut pending = self.pending_requests.iter();
        let Some(request) = pending.find(|request| request.request_id == request_id).copied() else {
            return false;
        };
        self.pending_requests.retain(|other| other.request_id > request_id);
        if epoch < self.epoch() {
            // The grant was overtaken by one of a later phase.
            return false;
        }
        let is_new = self.current.as_ref().is_none_or(|current| current.epoch < epoch);
        if is_new {
            // A lease on a phase that is not known does not count.
            let Some(update) = update.filter(|update| update.epoch == epoch) else { return false };
            self.current = Some(update);
        }
        let end = request.requested_at + self.times.min_lease();
        self.lease_end = Some(self.lease_end.map_or(end, |previous| previous.max(end)));
        is_new
    }

    /// Returns the end of the lease; `None` if there was none yet.
    pub fn lease_end(&self) -> Option<Duration> {
        self.lease_end
    }

    /// Returns the rules that this member enforces at this time.
    pub fn effective_rules(&self, now: Duration) -> EffectiveRules {
        match &self.current {
            Some(current) if current.phase != Phase::Initial => {
                let has_lease = self.lease_end.is_some_and(|end| now < end);
                match self.expiry_policy {
                    _ if has_lease => EffectiveRules::Phase(current.phase),
                    LeaseExpiryPolicy::WaitForAll => EffectiveRules::Phase(current.phase),
                    LeaseExpiryPolicy::Conservative => EffectiveRules::Conservative,
                    LeaseExpiryPolicy::Reject => EffectiveRules::RejectAll,
                }
            }
            _ if self.expiry_policy == LeaseExpiryPolicy::Reject => EffectiveRules::RejectAll,
            _ => EffectiveRules::Conservative,
        }
    }
}

#[cfg(test)]
mod tests;

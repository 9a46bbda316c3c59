//! A balancer's side: the step that it acts on, and for how long it may.

use crate::lease_manager::{LeaseExpiryPolicy, LeaseTimes, MAX_CLOCK_DRIFT};
use crate::version_state::{Phase, Version, VersionState};
use std::time::Duration;

/// The most requests for a lease that may be under way.
const MAX_PENDING_REQUESTS: usize = 16;

/// A step, with the texts that whoever acts on it needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PhaseUpdate {
    /// Its epoch.
    pub epoch: u64,
    /// The step.
    pub phase: Phase,
    /// The versions that it names.
    pub versions: Vec<Version>,
}

impl PhaseUpdate {
    /// What a leader tells.
    pub fn from_state(steps: &VersionState) -> Self {
        let versions = steps.required_versions().into_iter().cloned().collect();
        Self { epoch: steps.epoch, phase: steps.phase, versions }
    }
}

/// By what a balancer acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveRules {
    /// By the step that it was told last.
    Phase(Phase),
    /// Its lease has run out, or it never had one: by the strictest reading there is.
    Conservative,
    /// Its lease has run out: it refuses.
    RejectAll,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    request_id: u64,
    /// When, before it was sent.
    requested_at: Duration,
}

/// What a balancer holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    times: LeaseTimes,
    expiry_policy: LeaseExpiryPolicy,
    current: Option<PhaseUpdate>,
    lease_end: Option<Duration>,
    pending_requests: Vec<PendingRequest>,
    last_request_id: u64,
    renew_at: Duration,
}

impl LeaseHolder {
    /// One that has been told nothing.
    pub fn new(times: LeaseTimes, cut_off: LeaseExpiryPolicy) -> Self {
        Self {
            times,
            expiry_policy: cut_off,
            current: None,
            lease_end: None,
            pending_requests: Vec::new(),
            last_request_id: 0,
            renew_at: Duration::ZERO,
        }
    }

    /// What it was told last.
    pub fn current(&self) -> Option<&PhaseUpdate> {
        self.current.as_ref()
    }

    /// The epoch that it acts on, or would.
    pub fn epoch(&self) -> u64 {
        self.current.as_ref().map_or(0, |told| told.epoch)
    }

    /// When a lease is to be asked for.
    pub fn renewal_due(&self) -> Duration {
        self.renew_at
    }

    /// Asks for one now: the number of the request. The clock is read here, before anything is sent.
    pub fn begin_request(&mut self, now: Duration) -> u64 {
        self.last_request_id += 1;
        self.renew_at = now + self.times.renew_interval;
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.remove(0);
        }
        self.pending_requests.push(PendingRequest { request_id: self.last_request_id, requested_at: now });
        self.last_request_id
    }

    /// A lease was granted, at this epoch, with the step where it is another one than was told before. `true`: it is.
    pub fn accept_grant(&mut self, number: u64, epoch: u64, told: Option<PhaseUpdate>) -> bool {
        let Some(asked) = self.pending_requests.iter().find(|asked| asked.request_id == number).copied()
        else {
            return false;
        };
        self.pending_requests.retain(|other| other.request_id > number);
        if epoch < self.epoch() {
            // It was overtaken by a later step.
            return false;
        }
        let told = told.filter(|told| told.epoch == epoch);
        let news = self.current.as_ref().is_none_or(|before| before.epoch < epoch);
        if news {
            // A lease for a step that is not known is none.
            let Some(told) = told else { return false };
            self.current = Some(told);
        }
        // A clock that goes slow must not make it longer.
        let until = asked.requested_at + self.times.lease.mul_f64(1.0 - MAX_CLOCK_DRIFT);
        self.lease_end = Some(self.lease_end.map_or(until, |before| before.max(until)));
        news
    }

    /// Until when it may act by the step.
    pub fn lease_end(&self) -> Option<Duration> {
        self.lease_end
    }

    /// By what it acts.
    pub fn effective_rules(&self, now: Duration) -> EffectiveRules {
        match &self.current {
            Some(told) if told.phase != Phase::Initial => {
                let holds = self.lease_end.is_some_and(|until| now < until);
                match self.expiry_policy {
                    _ if holds => EffectiveRules::Phase(told.phase),
                    LeaseExpiryPolicy::WaitForAll => EffectiveRules::Phase(told.phase),
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
mod tests {
    use super::*;

    fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn told(epoch: u64, number: u64) -> PhaseUpdate {
        PhaseUpdate { epoch, phase: Phase::Stable(number), versions: Vec::new() }
    }

    #[test]
    fn a_lease_lasts_from_before_its_request() {
        let times = LeaseTimes::new(s(5)).unwrap();
        let mut holder = LeaseHolder::new(times, LeaseExpiryPolicy::Conservative);
        assert_eq!(holder.effective_rules(s(0)), EffectiveRules::Conservative);
        let number = holder.begin_request(s(10));
        // The answer comes 3 s later: what is left is what is left.
        assert!(holder.accept_grant(number, 1, Some(told(1, 1))));
        assert_eq!(holder.effective_rules(s(13)), EffectiveRules::Phase(Phase::Stable(1)));
        assert_eq!(holder.effective_rules(s(14)), EffectiveRules::Conservative);
        // One that comes after its time is no lease.
        let late = holder.begin_request(s(20));
        holder.accept_grant(late, 1, None);
        assert_eq!(holder.effective_rules(s(24)), EffectiveRules::Conservative);
        assert!(!holder.accept_grant(late, 1, None), "nor is one that was had before");
        assert!(!holder.accept_grant(99, 9, Some(told(9, 9))), "nor one that was not asked for");
    }

    #[test]
    fn an_overtaken_answer_does_not_bring_back_an_earlier_step() {
        let mut holder = LeaseHolder::new(LeaseTimes::new(s(5)).unwrap(), LeaseExpiryPolicy::Reject);
        let (first, second) = (holder.begin_request(s(1)), holder.begin_request(s(2)));
        assert!(holder.accept_grant(second, 2, Some(told(2, 2))));
        assert!(!holder.accept_grant(first, 1, Some(told(1, 1))));
        assert_eq!(holder.effective_rules(s(3)), EffectiveRules::Phase(Phase::Stable(2)));
        assert_eq!(holder.effective_rules(s(60)), EffectiveRules::RejectAll);
        let waits = LeaseHolder::new(LeaseTimes::new(s(5)).unwrap(), LeaseExpiryPolicy::WaitForAll);
        assert_eq!(waits.effective_rules(s(1)), EffectiveRules::Conservative, "it was told nothing");
    }
}

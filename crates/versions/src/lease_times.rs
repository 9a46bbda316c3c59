//! The durations of leases, and what a member does without one.

use std::time::Duration;

/// The largest relative error of a clock, either way.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// The shortest supported time of conflict. Several renewals have to pass a busy machine within a lease.
pub const MIN_CONFLICT: Duration = Duration::from_millis(1000);
/// The longest supported time of conflict.
pub const MAX_CONFLICT: Duration = Duration::from_secs(600);

/// The most requests for a lease that may be without an answer.
pub(crate) const MAX_PENDING_REQUESTS: usize = 16;

/// The share of the longest conflict that a lease takes. Both clocks may drift, and a holder checks its lease before each attempt, not
/// during it.
const LEASE_SHARE: f64 = 0.8;
const RENEWALS_PER_LEASE: u32 = 6;

/// The durations of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// The longest time for which two members may act on conflicting rules.
    pub max_conflict: Duration,
    /// The duration of a lease, by its holder's clock.
    pub lease: Duration,
    /// The interval in which a lease is renewed.
    pub renew_interval: Duration,
}

impl LeaseTimes {
    /// Derives the durations from the longest time of conflict. Returns `None` if that is not supported.
    pub fn new(max_conflict: Duration) -> Option<Self> {
        if !(MIN_CONFLICT..=MAX_CONFLICT).contains(&max_conflict) {
            return None;
        }
        let lease = max_conflict.mul_f64(LEASE_SHARE);
        Some(Self { max_conflict, lease, renew_interval: lease / RENEWALS_PER_LEASE })
    }

    /// Returns the longest time that a lease may last by another clock than its holder's.
    pub fn max_lease(&self) -> Duration {
        self.lease.mul_f64((1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT))
    }

    /// Returns the time for which a holder may rely on a lease, though its clock may be slow.
    pub(crate) fn min_lease(&self) -> Duration {
        self.lease.mul_f64(1.0 - MAX_CLOCK_DRIFT)
    }
}

/// What a member does once its lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseExpiryPolicy {
    /// It enforces conservative rules.
    #[default]
    Conservative,
    /// It rejects all requests, and reports that it is not ready.
    Reject,
    /// Leases never expire: a transition waits for all members.
    WaitForAll,
}

#[cfg(test)]
mod tests;

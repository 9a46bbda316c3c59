//! The lease that the engine checks before it writes an attempt.

use maplehook::Lease;
use maplehook_consensus::{ActiveVersion, EnforcementMode};
use std::time::Instant;

/// Returns until when attempts may be written by the rules that a member enforces.
pub fn engine_lease(active: &ActiveVersion, mode: EnforcementMode, now: Instant) -> Lease {
    match (mode, active.lease_end) {
        (EnforcementMode::Current, Some(end)) => {
            Lease::Until { until: end.into(), covers_first_attempts: active.conservative_rules.is_none() }
        }
        // A member that rejects all requests does not write what it has accepted before, either.
        (EnforcementMode::RejectAll, _) => Lease::Until { until: now.into(), covers_first_attempts: true },
        _ => Lease::Unlimited,
    }
}

#[cfg(test)]
mod tests;

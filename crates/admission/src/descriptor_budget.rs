//! The file descriptors of a process: how many connections of clients and of upstreams may hold. One [`DescriptorBudget`] owns
//! them all.
//!
//! The limits of the classes together never exceed that of the process, so that neither starves the other: a flood of clients
//! can't take the connections to upstreams, nor the other way round. The limit may change while the process runs, and other code
//! may hold descriptors that the budget does not know of; [`DescriptorBudget::record_exhaustion`] takes a failure for want of a
//! descriptor (`EMFILE`, `ENFILE`) and lowers all limits for a while.

use std::time::Duration;
use thiserror::Error;

/// Descriptors for standard streams, the poller, the listener, signals, files and the spare one.
pub const BASE_DESCRIPTORS: usize = 14;
/// Descriptors for calls to discovery: a watch, a fetch, and both again at a new address.
pub const DISCOVERY_DESCRIPTORS: usize = 4;
/// Descriptors on which rejected clients may still read their responses.
pub const REJECTION_DESCRIPTORS: usize = 6;
/// The fewest descriptors with which a process can serve: a few clients and upstreams.
pub const MIN_DESCRIPTORS: usize = 2 * (BASE_DESCRIPTORS + DISCOVERY_DESCRIPTORS + REJECTION_DESCRIPTORS);
/// The time for which descriptors are withheld after a failure for want of one.
const WITHHOLDING_TIME: Duration = Duration::from_secs(5);
/// The largest share of the shareable descriptors that is withheld for such failures.
const MAX_WITHHELD_SHARE: f64 = 0.5;

/// The uses of descriptors that have a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorClass {
    /// Connections of clients.
    Clients,
    /// Connections to upstreams.
    Upstreams,
}

/// Divides the descriptors of a process.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    /// The limit that the platform or the operator sets.
    configured_limit: usize,
    /// The limit of the process, as the kernel enforces it.
    process_limit: usize,
    /// Descriptors of either limit that another part of the process has for itself.
    reserved: usize,
    /// The share of connections to upstreams in the shareable descriptors.
    upstream_share: f64,
    /// Descriptors that are withheld from all classes after failures.
    withheld: usize,
    /// When the last failure was recorded.
    withheld_at: Duration,
}

/// Fewer descriptors than a process can serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0} descriptors are too few; {MIN_DESCRIPTORS} are the least")]
pub struct TooFewDescriptorsError(pub usize);

impl DescriptorBudget {
    /// A budget under both limits, of which `reserved` descriptors are not shared. Connections to upstreams get this share of the
    /// others (0.01 to 0.99).
    ///
    /// # Errors
    ///
    /// If the lower limit has fewer than [`MIN_DESCRIPTORS`] beside the reserved ones.
    pub fn new(
        configured_limit: usize,
        process_limit: usize,
        reserved: usize,
        upstream_share: f64,
    ) -> Result<Self, TooFewDescriptorsError> {
        let limit = configured_limit.min(process_limit);
        if limit < MIN_DESCRIPTORS + reserved {
            return Err(TooFewDescriptorsError(limit));
        }
        let upstream_share = upstream_share.clamp(0.01, 0.99);
        Ok(Self {
            configured_limit,
            process_limit,
            reserved,
            upstream_share,
            withheld: 0,
            withheld_at: Duration::ZERO,
        })
    }

    /// Sets the configured limit, at least the lowest with which a process can serve; `true` if it has changed.
    pub fn set_configured_limit(&mut self, configured_limit: usize) -> bool {
        let previous = self.configured_limit;
        self.configured_limit = configured_limit.max(MIN_DESCRIPTORS + self.reserved);
        self.configured_limit != previous
    }

    /// Sets the limit of the process; `true` if it has changed. One too low to serve with counts as the lowest that will do:
    /// descriptors that are open stay open under it.
    pub fn set_process_limit(&mut self, process_limit: usize) -> bool {
        let previous = self.process_limit;
        self.process_limit = process_limit.max(MIN_DESCRIPTORS + self.reserved);
        self.process_limit != previous
    }

    /// Records that no descriptor could be opened at `now`, though a class was within its limit: other code holds some.
    pub fn record_exhaustion(&mut self, now: Duration) {
        self.withheld = (self.withheld + 1).min(self.max_withheld());
        self.withheld_at = now;
    }

    /// Returns half of the withheld descriptors, if the last failure is long enough ago; `true` if it is.
    pub fn relax(&mut self, now: Duration) -> bool {
        let is_due = self.withheld > 0 && now >= self.withheld_at + WITHHOLDING_TIME;
        if is_due {
            self.withheld /= 2;
        }
        is_due
    }

    fn max_withheld(&self) -> usize {
        (self.shareable() as f64 * MAX_WITHHELD_SHARE) as usize
    }

    fn shareable(&self) -> usize {
        self.configured_limit.min(self.process_limit)
            - self.reserved
            - BASE_DESCRIPTORS
            - DISCOVERY_DESCRIPTORS
            - REJECTION_DESCRIPTORS
    }

    /// The number of descriptors that a class may hold now.
    pub fn limit_of(&self, class: DescriptorClass) -> usize {
        // The limit may have fallen since descriptors were withheld.
        let all = self.shareable() - self.withheld.min(self.max_withheld());
        let upstreams = ((all as f64 * self.upstream_share) as usize).max(1);
        match class {
            DescriptorClass::Upstreams => upstreams,
            DescriptorClass::Clients => all - upstreams,
        }
    }
}

#[cfg(test)]
mod tests;

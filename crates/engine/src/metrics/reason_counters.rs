//! Counters with a `reason` label.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

/// One metric with a counter per reason. Reasons are string constants, so that the number of counters is
/// bounded.
#[derive(Clone, Debug, Default)]
pub struct ReasonCounters(Family<Reason, Counter>);

impl ReasonCounters {
    /// Adds one to the counter of `reason`.
    pub fn increment(&self, reason: &'static str) {
        self.0.get_or_create(&Reason { reason }).inc();
    }

    /// Returns the counter family, to be registered under a metric name.
    pub(super) fn family(&self) -> impl prometheus_client::registry::Metric {
        Family::clone(&self.0)
    }
}

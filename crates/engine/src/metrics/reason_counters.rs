//! Counters that are told apart by a reason.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

/// One figure by reasons, all of which are named in the program.
#[derive(Clone, Debug, Default)]
pub struct ReasonCounters(Family<Reason, Counter>);

impl ReasonCounters {
    /// It has happened once more for this reason.
    pub fn increment(&self, reason: &'static str) {
        self.0.get_or_create(&Reason { reason }).inc();
    }

    /// The family, for a registry.
    pub(super) fn family(&self) -> impl prometheus_client::registry::Metric {
        Family::clone(&self.0)
    }
}

//! State of one upstream at a balancer. Times are in seconds on the balancer's clock.

use crate::interface::{CellId, UpstreamId, ZoneId};
use crate::request::Attempt;

/// Load that an overdue attempt counts for, in requests in flight: its upstream is stuck or unresponsive.
pub(crate) const OVERDUE_LOAD: f64 = 4.0;
/// Seconds over which a reported load decays by a factor of `e`.
const REPORT_DECAY_S: f64 = 1.0;
/// Maximum credit that an upstream can save up, by the round robin and by the clock of slow start.
const MAX_CREDIT: f64 = 2.0;
const MAX_SLOW_START_CREDIT: f64 = 1.5;

/// Upstream as one balancer sees it.
#[derive(Default)]
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) is_ready: bool,
    pub(crate) is_draining: bool,
    /// True if the upstream is in the subset that takes requests.
    pub(crate) is_in_subset: bool,
    /// True if the upstream was added, restarted or ejected since the last choice of the subset.
    pub(crate) is_new: bool,
    /// Listed size; with [`Weights::Live`](crate::Weights::Live), the largest size seen.
    pub(crate) size: f64,
    /// Start of slow start, possibly in the future; `None` if the upstream is warm.
    pub(crate) slow_start_since: Option<f64>,
    /// Attempts of this balancer in flight, `q_j`.
    pub(crate) in_flight: u32,
    /// Attempts in flight that have exceeded the hedge delay.
    pub(crate) overdue_count: u32,
    /// Attempts in flight that later attempts have overtaken; presumed lost and not counted as load.
    pub(crate) lost_count: u32,
    /// Unanswered attempts that may still occupy the upstream; decays over the shortest latency objective.
    pub(crate) abandoned_load: f64,
    /// Requests of other balancers in flight at the upstream, from the latest load report.
    pub(crate) reported_load: f64,
    pub(crate) reported_at: f64,
    /// Mean ratio of the upstream's latencies to the mean latency of their class.
    pub(crate) latency_ratio: f64,
    /// Number of latency samples behind `latency_ratio`, decaying over time.
    pub(crate) latency_samples: f64,
    /// Connections that broke since the last answer.
    pub(crate) broken_connections: u32,
    /// Time of the last answer, including errors and rejections.
    pub(crate) last_answer_at: f64,
    /// Consecutive ejections.
    pub(crate) ejections: u32,
    pub(crate) ejected_until: f64,
    /// Health for each class, by position.
    pub(crate) health: Vec<ClassHealth>,
    /// Time at which an attempt was last sent or ended.
    pub(crate) last_used_at: f64,
    /// Present capacity, as a share of a full-size upstream's capacity.
    pub(crate) capacity: f64,
    /// Slots earned in each pass of the round robin.
    pub(crate) weight: f64,
    /// Slots earned but not taken yet.
    pub(crate) credit: f64,
    pub(crate) weight_updated_at: f64,
    /// Seconds since credit was last earned by the clock.
    pub(crate) uncredited_s: f64,
    /// Contribution of this upstream to the totals of the subset.
    pub(crate) contribution: SubsetTotals,
}

impl Upstream {
    /// Returns true if the upstream is ejected for all classes.
    pub(crate) fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }

    /// Returns true if the upstream is listed as ready or draining.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_ready || self.is_draining
    }

    /// Returns the number of this balancer's attempts that occupy the upstream.
    pub(crate) fn occupying_attempts(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.lost_count))
    }

    /// Returns the load in requests per unit of capacity: the balancer's own requests and the reported
    /// requests, which decay with age.
    pub(crate) fn load(&self, now: f64) -> f64 {
        let age = (now - self.reported_at).max(0.0);
        let reported = self.reported_load * (-age / REPORT_DECAY_S).exp();
        (self.occupying_attempts()
            + OVERDUE_LOAD * f64::from(self.overdue_count)
            + self.abandoned_load
            + reported)
            / self.capacity
    }

    /// Adds an attempt to the overdue count of this upstream, or removes the attempt. Repeated calls count an
    /// attempt once.
    pub(crate) fn count_overdue(&mut self, attempt: &mut Attempt, is_overdue: bool) {
        let was_counted = std::mem::replace(&mut attempt.is_counted_overdue, is_overdue);
        self.overdue_count =
            (self.overdue_count + u32::from(is_overdue)).saturating_sub(u32::from(was_counted));
    }

    /// Removes an attempt that is no longer in flight from the overdue and lost counts.
    pub(crate) fn remove_overdue(&mut self, attempt: &mut Attempt, was_lost: bool) {
        self.count_overdue(attempt, false);
        self.lost_count = self.lost_count.saturating_sub(u32::from(was_lost));
    }

    /// Earns credit from one pass of the round robin, unless the upstream earns it by the clock.
    pub(crate) fn earn_round_credit(&mut self) {
        if self.slow_start_since.is_none() {
            self.credit = (self.credit + self.weight).min(MAX_CREDIT);
        }
    }

    /// Earns credit by the clock, if the upstream is in slow start.
    pub(crate) fn earn_slow_start_credit(&mut self, rate_per_weight: f64, safe_share: f64) {
        let elapsed = std::mem::take(&mut self.uncredited_s);
        if self.slow_start_since.is_some() {
            let earned = elapsed * rate_per_weight * safe_share * self.contribution.weight;
            self.credit = (self.credit + earned).min(MAX_SLOW_START_CREDIT);
        }
    }

    /// Records the ratio of a latency to the mean latency of its class.
    pub(crate) fn record_latency_ratio(&mut self, ratio: f64) {
        self.latency_samples += 1.0;
        self.latency_ratio += (ratio - self.latency_ratio) / self.latency_samples.max(1.0);
    }
}

/// Results of one class's requests at one upstream.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    /// Consecutive failures.
    pub(crate) failures: u32,
    pub(crate) last_answer_at: f64,
    /// Send time of the newest answered attempt.
    pub(crate) answered_sent_at: f64,
    /// Send time of the newest attempt.
    pub(crate) last_sent_at: f64,
    /// True if the upstream is ejected for this class.
    pub(crate) is_ejected: bool,
    /// Time of the ejection, or of the last trial since.
    pub(crate) last_trial_at: f64,
}

/// Sums over the upstreams of the subset.
#[derive(Clone, Copy, Default)]
pub(crate) struct SubsetTotals {
    pub(crate) weight: f64,
    /// Weight of the upstreams, reduced by the share of overdue attempts.
    pub(crate) responsive_weight: f64,
    pub(crate) in_flight: f64,
    /// Number of upstreams that are not in slow start.
    pub(crate) warm_count: f64,
    pub(crate) warm_weight: f64,
}

impl SubsetTotals {
    /// Returns these totals plus `factor` times `other`.
    pub(crate) fn plus(&self, other: &Self, factor: f64) -> Self {
        Self {
            weight: self.weight + factor * other.weight,
            responsive_weight: self.responsive_weight + factor * other.responsive_weight,
            in_flight: self.in_flight + factor * other.in_flight,
            warm_count: self.warm_count + factor * other.warm_count,
            warm_weight: self.warm_weight + factor * other.warm_weight,
        }
    }
}

/// Properties of the subset that the weights depend on.
#[derive(Clone, Copy, Default)]
pub(crate) struct SubsetTraits {
    pub(crate) largest_size: f64,
    /// True if few enough upstreams are ejected for the ejections to be respected.
    pub(crate) respects_ejections: bool,
    /// True if any upstream of the balancer's zone is usable.
    pub(crate) has_local_ready: bool,
}

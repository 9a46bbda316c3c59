//! The state that a balancer keeps about one upstream. Times are seconds on the balancer's clock.

use crate::interface::{CellId, UpstreamId, ZoneId};
use crate::request::Attempt;

/// What an overdue attempt counts for, in requests in flight: its upstream is stuck or silent.
pub(crate) const OVERDUE_LOAD: f64 = 4.0;
/// Seconds after which a load report has lost a factor `e` of its weight.
const REPORT_FADE_S: f64 = 1.0;
/// The bounds of the credit that an upstream can save up, by the round robin and by the clock of slow start.
const MAX_CREDIT: f64 = 2.0;
const MAX_SLOW_START_CREDIT: f64 = 1.5;

/// An upstream as one balancer sees it.
#[derive(Default)]
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) is_ready: bool,
    pub(crate) is_draining: bool,
    /// Whether it belongs to the subset that takes requests.
    pub(crate) is_in_subset: bool,
    /// Whether it has appeared, restarted or come back from ejection since the subset was last chosen.
    pub(crate) is_new: bool,
    /// Its listed size; with live weights the largest that was seen.
    pub(crate) size: f64,
    /// When its slow start begins or began; `None` if it has been warm for long.
    pub(crate) slow_start_since: Option<f64>,
    /// The attempts of this balancer in flight: `q_j`.
    pub(crate) in_flight: u32,
    /// Of these, the ones out for longer than the hedge delay.
    pub(crate) overdue: u32,
    /// Of these, the ones that later attempts have overtaken: they occupy nothing there.
    pub(crate) lost: u32,
    /// Attempts given up that may still occupy it; they fade over the shortest latency objective.
    pub(crate) abandoned: f64,
    /// The requests that others have in flight there, by the latest load report.
    pub(crate) reported_load: f64,
    pub(crate) reported_at: f64,
    /// The mean ratio of its latencies to the mean of their class.
    pub(crate) latency_ratio: f64,
    /// The number of answers behind that ratio, fading.
    pub(crate) latency_samples: f64,
    /// The connections that broke since its last answer.
    pub(crate) broken_connections: u32,
    /// When that answer came, whatever it was.
    pub(crate) last_answer_at: f64,
    /// Ejections in a row.
    pub(crate) ejections: u32,
    pub(crate) ejected_until: f64,
    /// By class.
    pub(crate) health: Vec<ClassHealth>,
    /// When something was last sent or came back.
    pub(crate) last_used_at: f64,
    /// The share of a full-size upstream's work that it can do now.
    pub(crate) capacity: f64,
    /// The slots that it earns in each round of the round robin.
    pub(crate) weight: f64,
    /// Slots earned and not taken.
    pub(crate) credit: f64,
    pub(crate) weighed_at: f64,
    /// Seconds since credit was last earned by the clock.
    pub(crate) uncredited_s: f64,
    /// Its part in the totals of the subset.
    pub(crate) contribution: SubsetTotals,
}

impl Upstream {
    /// Returns whether the upstream is ejected for all classes.
    pub(crate) fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }

    /// Returns whether the upstream is listed as ready or draining.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_ready || self.is_draining
    }

    /// Returns the attempts of this balancer that occupy the upstream.
    pub(crate) fn occupied(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.lost))
    }

    /// Returns the load in requests for each unit of capacity: the balancer's own requests and, fading with
    /// age, those that were reported.
    pub(crate) fn load(&self, now: f64) -> f64 {
        let age = (now - self.reported_at).max(0.0);
        let reported = self.reported_load * (-age / REPORT_FADE_S).exp();
        (self.occupied() + OVERDUE_LOAD * f64::from(self.overdue) + self.abandoned + reported) / self.capacity
    }

    /// Counts an attempt among the overdue ones of this upstream or removes it, once each, whatever comes in
    /// between.
    pub(crate) fn count_overdue(&mut self, attempt: &mut Attempt, is_overdue: bool) {
        let was_counted = std::mem::replace(&mut attempt.is_counted_overdue, is_overdue);
        self.overdue = (self.overdue + u32::from(is_overdue)).saturating_sub(u32::from(was_counted));
    }

    /// Counts an attempt that is in flight no longer out of the overdue and lost ones.
    pub(crate) fn forget_overdue(&mut self, attempt: &mut Attempt, was_lost: bool) {
        self.count_overdue(attempt, false);
        self.lost = self.lost.saturating_sub(u32::from(was_lost));
    }

    /// Earns a slot's credit from one pass of the round robin, unless credit comes by the clock.
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

    /// Takes in the ratio of a latency to the mean of its class.
    pub(crate) fn record_latency_ratio(&mut self, ratio: f64) {
        self.latency_samples += 1.0;
        self.latency_ratio += (ratio - self.latency_ratio) / self.latency_samples.max(1.0);
    }
}

/// What the requests of one class have met at one upstream.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    /// Failures in a row.
    pub(crate) failures: u32,
    pub(crate) last_answer_at: f64,
    /// When the newest attempt that was answered had been sent.
    pub(crate) answered_sent_at: f64,
    /// When the newest attempt was sent.
    pub(crate) last_sent_at: f64,
    /// Whether the upstream is ejected for this class.
    pub(crate) is_ejected: bool,
    /// When it was ejected, or tried since.
    pub(crate) last_trial_at: f64,
}

/// What the upstreams of the subset come to together.
#[derive(Clone, Copy, Default)]
pub(crate) struct SubsetTotals {
    pub(crate) weight: f64,
    /// Of the weight, the part that is not overdue.
    pub(crate) responsive_weight: f64,
    pub(crate) in_flight: f64,
    /// The number of upstreams that are not in slow start.
    pub(crate) warm_count: f64,
    pub(crate) warm_weight: f64,
}

impl SubsetTotals {
    /// Returns these totals with `times` of an upstream's part.
    pub(crate) fn plus(&self, part: &Self, times: f64) -> Self {
        Self {
            weight: self.weight + times * part.weight,
            responsive_weight: self.responsive_weight + times * part.responsive_weight,
            in_flight: self.in_flight + times * part.in_flight,
            warm_count: self.warm_count + times * part.warm_count,
            warm_weight: self.warm_weight + times * part.warm_weight,
        }
    }
}

/// What the upstreams of the subset have in common.
#[derive(Clone, Copy, Default)]
pub(crate) struct SubsetTraits {
    pub(crate) largest_size: f64,
    /// Whether few enough are ejected for the ejections to be respected.
    pub(crate) respects_ejections: bool,
    /// Whether any upstream of the balancer's own zone can be used.
    pub(crate) has_local_ready: bool,
}

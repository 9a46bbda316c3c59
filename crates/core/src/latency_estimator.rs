//! Latency statistics of each request class: the mean, the baseline of an idle system, and the hedge delay.
//! Times are in seconds.

use crate::attempt_result::AttemptResult;
use crate::interface::Class;
use crate::tick::TICK_INTERVAL_S;

/// Largest hedge delay as a share of the latency objective; the rest leaves time for another attempt.
pub(crate) const MAX_HEDGE_DELAY_SHARE: f64 = 0.6;
/// Quantile of answer latencies that the hedge delay tracks; slower attempts justify a second one.
const HEDGE_QUANTILE: f64 = 0.95;
/// Relative step by which the hedge delay follows each answer.
const HEDGE_DELAY_STEP: f64 = 0.05;
/// Seconds over which the baseline latency of a class rises.
const BASELINE_RISE_S: f64 = 30.0;
/// Weight of the newest answer in the mean latency of answered attempts.
const NEWEST_ANSWER_WEIGHT: f64 = 0.1;
/// Factor on the latency of a timed-out or cancelled attempt, whose answer would have taken longer.
const GIVEN_UP_LATENCY_FACTOR: f64 = 1.5;
/// Seconds over which a class's latency is averaged if answers are few, and the bounds of the weight of one
/// answer.
const MEAN_LATENCY_WINDOW_S: f64 = 3.0;
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
const MAX_SAMPLE_WEIGHT: f64 = 0.2;
/// Multiple of the baseline latency that is always acceptable, up to a share of the objective: latency on an
/// idle system is not queueing, and rejecting requests does not reduce such latency.
const BASELINE_ALLOWANCE: f64 = 1.6;
const MAX_BASELINE_SHARE: f64 = 0.6;
/// Weight of the newest request in the shares of the classes.
const NEWEST_REQUEST_WEIGHT: f64 = 0.01;

/// Learned statistics of a request class.
#[derive(Default)]
pub(crate) struct ClassStatistics {
    /// Mean latency of the class's attempts, including slow ones that timed out or were cancelled.
    pub(crate) mean_latency: f64,
    /// Mean latency of the answered attempts.
    pub(crate) answered_latency: f64,
    /// Mean latency reached with few requests in flight; rises slowly.
    pub(crate) baseline_latency: f64,
    pub(crate) updated_at: f64,
    /// Estimated time within which a share of [`HEDGE_QUANTILE`] of the answers arrives.
    pub(crate) hedge_delay: f64,
    /// Share of the class among the admitted requests.
    pub(crate) admitted_share: f64,
    /// Number of upstreams in the subset that are ejected for the class.
    pub(crate) ejected_count: usize,
    /// Trials of ejected upstreams since the last successful trial.
    pub(crate) failed_trials: u32,
    pub(crate) next_trial_at: f64,
}

impl ClassStatistics {
    /// Returns the initial statistics of a class.
    pub(crate) fn new(class: &Class) -> Self {
        let objective = class.latency_objective.as_secs_f64();
        Self {
            mean_latency: objective * 0.3,
            baseline_latency: objective * 0.2,
            hedge_delay: objective * MAX_HEDGE_DELAY_SHARE,
            admitted_share: 1.0,
            ..Self::default()
        }
    }

    /// Returns the shortest and the longest hedge delay of a class with this latency objective.
    pub(crate) fn hedge_delay_bounds(objective: f64) -> (f64, f64) {
        (2.0 * TICK_INTERVAL_S, objective.max(2.0 * TICK_INTERVAL_S))
    }

    /// Returns the ratio of a latency to the mean latency of the class.
    pub(crate) fn latency_ratio(&self, latency: f64) -> f64 {
        latency / self.mean_latency.max(1e-6)
    }

    /// Returns the longest mean latency that leaves headroom, for a share of the latency objective.
    pub(crate) fn max_mean_latency(&self, share: f64, objective: f64) -> f64 {
        let baseline_limit = (BASELINE_ALLOWANCE * self.baseline_latency).min(MAX_BASELINE_SHARE * objective);
        (share * objective).max(baseline_limit)
    }

    /// Records the result of one attempt of the class.
    pub(crate) fn record(&mut self, result: &AttemptResult, objective: f64, now: f64) {
        if result.is_ok() {
            self.record_answer(result.latency, objective);
        }
        if result.is_latency_sample() {
            self.record_latency(result, objective, now);
        }
    }

    fn record_answer(&mut self, latency: f64, objective: f64) {
        self.answered_latency += NEWEST_ANSWER_WEIGHT * (latency - self.answered_latency);
        self.hedge_delay *= if latency > self.hedge_delay {
            1.0 + HEDGE_DELAY_STEP * HEDGE_QUANTILE
        } else {
            1.0 - HEDGE_DELAY_STEP * (1.0 - HEDGE_QUANTILE)
        };
        let (shortest, longest) = Self::hedge_delay_bounds(objective);
        self.hedge_delay = self.hedge_delay.clamp(shortest, longest);
    }

    fn record_latency(&mut self, result: &AttemptResult, objective: f64, now: f64) {
        let latency = if result.is_ok() { result.latency } else { GIVEN_UP_LATENCY_FACTOR * result.latency };
        let latency = latency.min(2.0 * objective);
        let weight =
            ((now - self.updated_at) / MEAN_LATENCY_WINDOW_S).clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.updated_at = now;
        self.mean_latency += weight * (latency - self.mean_latency);
        let is_falling = self.mean_latency < self.baseline_latency;
        let window_s = if is_falling { MEAN_LATENCY_WINDOW_S } else { BASELINE_RISE_S };
        self.baseline_latency +=
            (weight * MEAN_LATENCY_WINDOW_S / window_s) * (self.mean_latency - self.baseline_latency);
    }

    /// Updates the class's share with an admitted request of this class or of another one.
    pub(crate) fn record_admission(&mut self, is_of_class: bool) {
        self.admitted_share +=
            NEWEST_REQUEST_WEIGHT * (f64::from(u8::from(is_of_class)) - self.admitted_share);
    }
}

/// Returns the mean latency over all classes, weighted by their shares of the admitted requests.
pub(crate) fn overall_mean_latency(classes: &[ClassStatistics]) -> f64 {
    let shares: f64 = classes.iter().map(|c| c.admitted_share).sum();
    classes.iter().map(|c| c.mean_latency * c.admitted_share).sum::<f64>() / shares.max(1e-9)
}

//! Latency statistics of each class of requests: the mean, the baseline of an idle fleet, and the hedge
//! delay. Times are seconds.

use crate::attempt_result::AttemptResult;
use crate::interface::Class;
use crate::tick::TICK_S;

/// The hedge delay is at most this share of the latency objective, so that another attempt still has time.
pub(crate) const MAX_HEDGE_DELAY_SHARE: f64 = 0.6;
/// The share of a class's answers that come within the hedge delay: the rest are worth a second attempt.
const HEDGE_QUANTILE: f64 = 0.95;
/// The relative step by which the hedge delay follows the answers.
const HEDGE_DELAY_STEP: f64 = 0.05;
/// Seconds over which the baseline latency of a class creeps up.
const BASELINE_RISE_S: f64 = 30.0;
/// The weight of the newest answer in the mean latency of those answered.
const NEWEST_ANSWER_WEIGHT: f64 = 0.1;
/// The factor on the time for which an attempt was waited for that was given up: it would have taken longer.
const GIVEN_UP_FACTOR: f64 = 1.5;
/// Seconds over which a class's latency is averaged where answers are few, and the least and the largest
/// weight of one answer.
const MEAN_OVER_S: f64 = 3.0;
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
const MAX_SAMPLE_WEIGHT: f64 = 0.2;
/// The multiple of the baseline latency that a class may take in any case, up to a share of the objective:
/// the time that work takes on an idle fleet is no queueing, and no rejection makes it less.
const BASELINE_ALLOWANCE: f64 = 1.6;
const MAX_BASELINE_SHARE: f64 = 0.6;
/// The weight of the newest request in the shares of the classes.
const NEWEST_REQUEST_WEIGHT: f64 = 0.01;

/// What a balancer has learned of a class of requests.
#[derive(Default)]
pub(crate) struct ClassStatistics {
    /// The mean latency of the class's attempts, with those given up.
    pub(crate) mean_latency: f64,
    /// The mean latency of the attempts that were answered.
    pub(crate) answered_latency: f64,
    /// What the mean has come down to when little was in flight; it creeps up.
    pub(crate) baseline_latency: f64,
    pub(crate) updated_at: f64,
    /// The time within which [`HEDGE_QUANTILE`] of the answers come.
    pub(crate) hedge_delay: f64,
    /// The class's share of the admitted requests.
    pub(crate) admitted_share: f64,
    /// The upstreams of the subset that are ejected for the class.
    pub(crate) ejected_count: usize,
    /// Trials of ejected upstreams since one last succeeded.
    pub(crate) failed_trials: u32,
    pub(crate) next_trial_at: f64,
}

impl ClassStatistics {
    /// Returns the statistics of a class of which nothing is known.
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

    /// Returns the bounds of the hedge delay of a class with this latency objective.
    pub(crate) fn hedge_delay_bounds(objective: f64) -> (f64, f64) {
        (2.0 * TICK_S, objective.max(2.0 * TICK_S))
    }

    /// Returns the ratio of a latency to the mean of the class.
    pub(crate) fn latency_ratio(&self, latency: f64) -> f64 {
        latency / self.mean_latency.max(1e-6)
    }

    /// Returns the longest mean latency that leaves headroom, for a share of the latency objective.
    pub(crate) fn max_mean_latency(&self, share: f64, objective: f64) -> f64 {
        let unavoidable = (BASELINE_ALLOWANCE * self.baseline_latency).min(MAX_BASELINE_SHARE * objective);
        (share * objective).max(unavoidable)
    }

    /// Takes in the result of one attempt of the class.
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
        let latency = if result.is_ok() { result.latency } else { GIVEN_UP_FACTOR * result.latency };
        let latency = latency.min(2.0 * objective);
        let weight = ((now - self.updated_at) / MEAN_OVER_S).clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.updated_at = now;
        self.mean_latency += weight * (latency - self.mean_latency);
        let is_falling = self.mean_latency < self.baseline_latency;
        let over = if is_falling { MEAN_OVER_S } else { BASELINE_RISE_S };
        self.baseline_latency += (weight * MEAN_OVER_S / over) * (self.mean_latency - self.baseline_latency);
    }

    /// Counts an admitted request, of this class or of another one, in the class's share.
    pub(crate) fn record_admission(&mut self, is_of_class: bool) {
        self.admitted_share +=
            NEWEST_REQUEST_WEIGHT * (f64::from(u8::from(is_of_class)) - self.admitted_share);
    }
}

/// Returns the mean latency over the classes in proportion to their shares of the admitted requests.
pub(crate) fn overall_mean_latency(classes: &[ClassStatistics]) -> f64 {
    let shares: f64 = classes.iter().map(|c| c.admitted_share).sum();
    classes.iter().map(|c| c.mean_latency * c.admitted_share).sum::<f64>() / shares.max(1e-9)
}

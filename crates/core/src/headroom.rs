//! Headroom `W`: the number of further requests that the upstreams can take without queues that miss latency
//! objectives. Times are in seconds.

use crate::interface::Settings;
use crate::latency_estimator::overall_mean_latency;
use crate::state::Balancer;
use crate::throughput::THROUGHPUT_WINDOW_S;

/// Share of the admitted requests below which a class does not limit the queue length.
const MIN_CLASS_SHARE: f64 = 0.02;
/// Share of the latency objective that the mean latency may take before headroom is gone. Above this share,
/// many requests miss their objectives.
pub(crate) const MAX_LATENCY_SHARE: f64 = 0.4;
/// Same limit where load reports give the CPU utilization, so that latency is only a safeguard.
const MAX_LATENCY_SHARE_WITH_REPORTS: f64 = 0.55;
/// Seconds over which an earlier, higher throughput decays while latencies are within their limits.
const THROUGHPUT_DECAY_S: f64 = 30.0;
/// Target CPU utilization where load reports give it, and its increase per unit of `over_allowance_value`:
/// low-value demand justifies little overload risk.
const TARGET_UTILIZATION: f64 = 0.62;
const TARGET_UTILIZATION_PER_VALUE: f64 = 0.4;
/// Maximum age, in seconds, of the newest CPU utilization report.
const MAX_UTILIZATION_AGE_S: f64 = 3.0;
/// Seconds without answers after which a latency starts to fade; also the fading time constant.
const LATENCY_FADE_S: f64 = 5.0;
/// Range of the rejected share of requests in which other zones get slots regardless of their price. Above
/// the range no zone has headroom, and the price of another zone would be paid for nothing.
const SPILLOVER_MIN_REJECTED: f64 = 0.02;
const SPILLOVER_MAX_REJECTED: f64 = 0.4;
/// Rates per second at which the spillover rises and falls, and the maximum weight for other zones.
const SPILLOVER_RISE_PER_S: f64 = 0.5;
const SPILLOVER_FALL_PER_S: f64 = 0.1;
pub(crate) const MAX_SPILLOVER_WEIGHT: f64 = 0.6;

impl Balancer {
    /// Returns the mean latency over all classes, weighted by their admitted requests.
    fn mean_latency(&self) -> f64 {
        overall_mean_latency(&self.classes)
    }

    /// Computes `W`, the sum of `(elapsed C_j + (Q_j - q_j))` over the upstreams, for this balancer's share.
    pub(crate) fn update_headroom(&mut self, elapsed: f64) {
        self.fade_latencies(elapsed);
        let has_reports = self.now_s - self.utilization.reported_at < MAX_UTILIZATION_AGE_S;
        let slack =
            self.latency_slack(if has_reports { MAX_LATENCY_SHARE_WITH_REPORTS } else { MAX_LATENCY_SHARE });
        let mut max_latency = (self.mean_latency() + slack).max(0.0);
        self.throughput.update_per_second(elapsed);
        if has_reports {
            self.follow_target_utilization(elapsed);
            max_latency = max_latency.min(self.mean_latency());
        } else {
            self.follow_observed_throughput(elapsed, slack);
        }
        // Allows one request over all balancers, since growth from zero throughput would take long.
        let min_queue = 1.0 / f64::from(self.settings.balancers);
        let per_weight = self.throughput.per_weight;
        let max_queue = (per_weight * max_latency).max(min_queue);
        self.headroom =
            self.totals.responsive_weight * (elapsed * per_weight + max_queue) - self.totals.in_flight;
    }

    /// Fades latencies without recent answers; otherwise a negative `W` would admit no request that could
    /// correct them.
    fn fade_latencies(&mut self, elapsed: f64) {
        let now = self.now_s;
        let classes = self.settings.classes.iter().zip(&mut self.classes);
        for (class, statistics) in classes.filter(|(_, s)| now > s.updated_at + LATENCY_FADE_S) {
            let floor = 0.5 * MAX_LATENCY_SHARE * class.latency_objective.as_secs_f64();
            let excess = (statistics.mean_latency - floor).max(0.0);
            statistics.mean_latency -= (elapsed / LATENCY_FADE_S).min(1.0) * excess;
        }
    }

    /// Returns the seconds by which the mean latency may grow; negative if it is too long. All classes share
    /// the queues, so the class with the least slack decides.
    fn latency_slack(&self, share: f64) -> f64 {
        let classes = self.settings.classes.iter().zip(&self.classes);
        let relevant = classes.filter(|(_, statistics)| statistics.admitted_share > MIN_CLASS_SHARE);
        let slacks = relevant.map(|(class, statistics)| {
            let objective = class.latency_objective.as_secs_f64();
            statistics.max_mean_latency(share, objective) - statistics.mean_latency
        });
        let slack = slacks.fold(f64::INFINITY, f64::min);
        let Some(split) = &self.split else { return slack };
        // The shares of a split don't depend on load, so the most loaded zone limits the headroom, not the
        // mean over the zones.
        let highest_load = self.observations.highest_load(self.now_s, &split.reach);
        slack.min((1.0 - highest_load) * share * self.shortest_objective)
    }

    /// Returns the observed completions per second for each unit of weight.
    fn observed_per_weight(&self) -> f64 {
        let weight = self.totals.weight.max(1e-9);
        // A split that reaches no upstream yields no throughput to observe.
        let reaches_nothing = self.split.is_some() && weight < 1e-6;
        if reaches_nothing { self.throughput.per_weight } else { self.throughput.per_second / weight }
    }

    /// Moves the throughput toward the rate that the target utilization permits. Retaining an earlier peak
    /// would go on admitting requests that slow down crowded upstreams.
    fn follow_target_utilization(&mut self, elapsed: f64) {
        let target = target_utilization(&self.settings);
        let sustainable = self.observed_per_weight() * (target / self.utilization.share.max(0.1)).min(2.0);
        let throughput = &mut self.throughput;
        throughput.per_weight +=
            (elapsed / THROUGHPUT_WINDOW_S).min(1.0) * (sustainable - throughput.per_weight);
    }

    /// Follows the observed throughput: rises at once, and falls slowly unless latencies are too long.
    fn follow_observed_throughput(&mut self, elapsed: f64, slack: f64) {
        let observed = self.observed_per_weight();
        let window_s = if slack < 0.0 { THROUGHPUT_WINDOW_S } else { THROUGHPUT_DECAY_S };
        let previous = self.throughput.per_weight;
        self.throughput.per_weight =
            (previous + (elapsed / window_s).min(1.0) * (observed - previous)).max(observed);
    }

    /// Lets requests spill over into other zones, at the price of those zones, while some are rejected here.
    /// The spillover falls slowly to avoid oscillation.
    pub(crate) fn update_spillover(&mut self, elapsed: f64) {
        self.recent_arrivals.fade(elapsed);
        let rejected = self.recent_arrivals.rejected_share();
        let lacks_headroom = rejected > SPILLOVER_MIN_REJECTED && rejected < SPILLOVER_MAX_REJECTED;
        let is_rising = self.split.is_none() && lacks_headroom;
        let change_per_s = if is_rising { SPILLOVER_RISE_PER_S } else { -SPILLOVER_FALL_PER_S };
        self.spillover = (self.spillover + elapsed * change_per_s).clamp(0.0, 1.0);
    }
}

fn target_utilization(settings: &Settings) -> f64 {
    TARGET_UTILIZATION + TARGET_UTILIZATION_PER_VALUE * settings.over_allowance_value.min(0.5)
}

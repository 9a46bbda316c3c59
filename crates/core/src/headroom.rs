//! The headroom `W`: how many more requests the upstreams can take now without queues that miss latency
//! objectives. Times are seconds.

use crate::interface::Settings;
use crate::latency_estimator::overall_mean_latency;
use crate::state::Balancer;
use crate::throughput::THROUGHPUT_OVER_S;

/// The share of the admitted requests below which a class does not determine how long queues may be.
const MIN_CLASS_SHARE: f64 = 0.02;
/// The share of the latency objective that work may take on average before headroom is gone; past it, many
/// requests miss their objectives.
pub(crate) const LATENCY_SHARE: f64 = 0.4;
/// The same where load reports tell the CPU utilization, so that latency is only a safeguard.
const LATENCY_SHARE_WITH_REPORTS: f64 = 0.55;
/// Seconds over which a throughput once reached is forgotten where latencies are not too long.
const THROUGHPUT_KEPT_S: f64 = 30.0;
/// The CPU utilization that requests may cause where reports tell it, and what is added for demand over the
/// allowances by its value: where that is worth little, so is the risk.
const TARGET_UTILIZATION: f64 = 0.62;
const TARGET_UTILIZATION_BY_VALUE: f64 = 0.4;
/// Seconds for which the newest report of the utilization holds without a further one.
const UTILIZATION_KEPT_S: f64 = 3.0;
/// Seconds after which a latency without new answers fades, and over which it does so.
const LATENCY_KEPT_S: f64 = 5.0;
/// Other zones get slots whatever their price while this share of the requests is rejected on arrival; past
/// the second share there is no headroom anywhere, and the price of the other zone would be paid for nothing.
const SPILLOVER_MIN_REJECTED: f64 = 0.02;
const SPILLOVER_MAX_REJECTED: f64 = 0.4;
/// How fast the spillover rises and falls in a second, and the largest weight that it gives to other zones.
const SPILLOVER_RISE_PER_S: f64 = 0.5;
const SPILLOVER_FALL_PER_S: f64 = 0.1;
pub(crate) const MAX_SPILLOVER_WEIGHT: f64 = 0.6;

impl Balancer {
    /// Returns the mean latency over the classes in proportion to their admitted requests.
    fn mean_latency(&self) -> f64 {
        overall_mean_latency(&self.classes)
    }

    /// Computes `W` = sum of `(elapsed C_j + (Q_j - q_j))` in this balancer's own share.
    pub(crate) fn update_headroom(&mut self, elapsed: f64) {
        self.fade_latencies(elapsed);
        let has_reports = self.now_s - self.utilization.reported_at < UTILIZATION_KEPT_S;
        let slack = self.latency_slack(if has_reports { LATENCY_SHARE_WITH_REPORTS } else { LATENCY_SHARE });
        let mut max_latency = (self.mean_latency() + slack).max(0.0);
        self.throughput.count_tick(elapsed);
        if has_reports {
            self.follow_utilization(elapsed);
            max_latency = max_latency.min(self.mean_latency());
        } else {
            self.follow_throughput(elapsed, slack);
        }
        // One request over all balancers at least: where nothing is known a start from nothing takes long.
        let min_queue = 1.0 / f64::from(self.settings.balancers);
        let per_weight = self.throughput.per_weight;
        let queue = (per_weight * max_latency).max(min_queue);
        self.headroom =
            self.totals.responsive_weight * (elapsed * per_weight + queue) - self.totals.in_flight;
    }

    /// Lets latencies fade of which nothing new was heard: a `W` below zero would admit nothing that could
    /// correct it.
    fn fade_latencies(&mut self, elapsed: f64) {
        let now = self.now_s;
        let classes = self.settings.classes.iter().zip(&mut self.classes);
        for (class, statistics) in classes.filter(|(_, s)| now > s.updated_at + LATENCY_KEPT_S) {
            let floor = 0.5 * LATENCY_SHARE * class.latency_objective.as_secs_f64();
            let excess = (statistics.mean_latency - floor).max(0.0);
            statistics.mean_latency -= (elapsed / LATENCY_KEPT_S).min(1.0) * excess;
        }
    }

    /// Returns by how much the mean latency may grow, or, below zero, by how much it is too long. All classes
    /// share the queues, so the class whose answers come closest to its objective decides.
    fn latency_slack(&self, share: f64) -> f64 {
        let classes = self.settings.classes.iter().zip(&self.classes);
        let relevant = classes.filter(|(_, statistics)| statistics.admitted_share > MIN_CLASS_SHARE);
        let slacks = relevant.map(|(class, statistics)| {
            let objective = class.latency_objective.as_secs_f64();
            statistics.max_mean_latency(share, objective) - statistics.mean_latency
        });
        let slack = slacks.fold(f64::INFINITY, f64::min);
        let Some(split) = &self.split else { return slack };
        // The shares of a split hold whatever is in flight where: the fullest zone decides, not the mean of
        // them.
        let fullest = self.observations.highest_load(self.now_s, &split.reach);
        slack.min((1.0 - fullest) * share * self.shortest_objective)
    }

    /// Returns the completions a second for each unit of weight.
    fn observed_per_weight(&self) -> f64 {
        let weight = self.totals.weight.max(1e-9);
        // A split that reaches no upstream tells nothing of the throughput.
        let reaches_nothing = self.split.is_some() && weight < 1e-6;
        if reaches_nothing { self.throughput.per_weight } else { self.throughput.per_second / weight }
    }

    /// Sets the throughput to what the target utilization permits. A throughput once reached under load would
    /// go on admitting the requests that turn crowded upstreams slow.
    fn follow_utilization(&mut self, elapsed: f64) {
        let target = target_utilization(&self.settings);
        let possible = self.observed_per_weight() * (target / self.utilization.share.max(0.1)).min(2.0);
        let throughput = &mut self.throughput;
        throughput.per_weight += (elapsed / THROUGHPUT_OVER_S).min(1.0) * (possible - throughput.per_weight);
    }

    /// Follows the observed throughput: up at once, down slowly unless latencies are too long.
    fn follow_throughput(&mut self, elapsed: f64, slack: f64) {
        let observed = self.observed_per_weight();
        let over = if slack < 0.0 { THROUGHPUT_OVER_S } else { THROUGHPUT_KEPT_S };
        let before = self.throughput.per_weight;
        self.throughput.per_weight = (before + (elapsed / over).min(1.0) * (observed - before)).max(observed);
    }

    /// Lets requests spill over into other zones while some are rejected here: they may be served there for
    /// the price of the other zone. The spillover falls slowly, or it would oscillate.
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
    TARGET_UTILIZATION + TARGET_UTILIZATION_BY_VALUE * settings.over_allowance_value.min(0.5)
}

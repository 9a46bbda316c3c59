//! Transfer of learned state from one process to the next. Times are in seconds.

use crate::interface::{LearnedClass, LearnedState, LearnedTenant, LearnedThroughput, LearnedUpstream};
use crate::latency_estimator::ClassStatistics;
use crate::state::Balancer;
use crate::throughput::Throughput;
use crate::token_bucket::TokenBucket;
use crate::upstream::Upstream;

/// Longest remaining ejection, in seconds, that is restored.
const MAX_EJECTION_S: f64 = 60.0;
/// Largest latency ratio that is restored.
const MAX_LATENCY_RATIO: f64 = 5.0;

impl Balancer {
    /// Returns the learned state for the next process.
    pub fn learned_state(&self) -> LearnedState {
        let listed = self.upstreams.iter().filter(|u| u.is_listed());
        LearnedState {
            throughput: Some(LearnedThroughput::of(&self.throughput)),
            classes: self.classes.iter().map(|c| Some(LearnedClass::of(c))).collect(),
            tenants: self.buckets.iter().map(|b| Some(LearnedTenant::of(b))).collect(),
            upstreams: listed.map(|u| LearnedUpstream::of(u, self.now_s)).collect(),
        }
    }

    /// Restores the learned state of the previous process. Without it, every replacement would begin with
    /// slow starts and full buckets, and learn the same again at the clients' cost.
    pub(crate) fn restore_learned_state(&mut self, learned: &LearnedState) {
        if let Some(learned) = learned.throughput {
            // A process without traffic may have learned less than the initial values grant.
            self.throughput.per_weight = learned.per_weight.max(self.throughput.per_weight);
            self.throughput.per_second = learned.per_second.max(self.throughput.per_second);
        }
        let now = self.now_s;
        let classes = self.settings.classes.iter().zip(&mut self.classes).zip(&learned.classes);
        for ((class, statistics), learned) in classes {
            if let Some(learned) = learned {
                restore_class(statistics, learned, class.latency_objective.as_secs_f64(), now);
            }
        }
        for (bucket, learned) in self.buckets.iter_mut().zip(&learned.tenants) {
            if let Some(learned) = learned {
                bucket.tokens = learned.tokens.min(bucket.tokens);
                bucket.demand = learned.demand;
            }
        }
        learned.upstreams.iter().for_each(|upstream| self.restore_upstream(upstream));
        self.choose_subset();
    }

    fn restore_upstream(&mut self, learned: &LearnedUpstream) {
        let Some(index) = self.index_by_id.get(&learned.id) else { return };
        let upstream = &mut self.upstreams[*index];
        let window = self.settings.slow_start_window.as_secs_f64();
        if let Some(elapsed) = learned.in_slow_start_for.filter(|elapsed| *elapsed < window) {
            // Uses the later of the listed start and the restored one.
            let since = self.now_s - elapsed;
            upstream.slow_start_since = Some(upstream.slow_start_since.map_or(since, |s| s.max(since)));
            upstream.credit = 0.0;
        }
        upstream.ejections = learned.ejections;
        upstream.ejected_until = self.now_s + learned.ejected_for.min(MAX_EJECTION_S);
        upstream.latency_ratio = learned.latency_ratio.min(MAX_LATENCY_RATIO);
        upstream.latency_samples = learned.latency_samples;
    }
}

/// Restores the statistics of a class, within the range that its latency objective makes plausible.
fn restore_class(statistics: &mut ClassStatistics, learned: &LearnedClass, objective: f64, now: f64) {
    let max_latency = 2.0 * objective;
    statistics.mean_latency = learned.mean_latency.min(max_latency);
    statistics.answered_latency = learned.answered_latency.min(max_latency);
    statistics.baseline_latency = learned.baseline_latency.min(max_latency);
    let (shortest_delay, longest_delay) = ClassStatistics::hedge_delay_bounds(objective);
    statistics.hedge_delay = learned.hedge_delay.clamp(shortest_delay, longest_delay);
    statistics.admitted_share = learned.admitted_share.min(1.0);
    statistics.updated_at = now;
}

impl LearnedThroughput {
    fn of(throughput: &Throughput) -> Self {
        Self { per_weight: throughput.per_weight, per_second: throughput.per_second }
    }
}

impl LearnedClass {
    fn of(statistics: &ClassStatistics) -> Self {
        Self {
            mean_latency: statistics.mean_latency,
            answered_latency: statistics.answered_latency,
            baseline_latency: statistics.baseline_latency,
            hedge_delay: statistics.hedge_delay,
            admitted_share: statistics.admitted_share,
        }
    }
}

impl LearnedTenant {
    fn of(bucket: &TokenBucket) -> Self {
        Self { tokens: bucket.tokens.max(0.0), demand: bucket.demand }
    }
}

impl LearnedUpstream {
    fn of(upstream: &Upstream, now: f64) -> Self {
        Self {
            id: upstream.id,
            in_slow_start_for: upstream.slow_start_since.map(|since| (now - since).max(0.0)),
            ejected_for: (upstream.ejected_until - now).max(0.0),
            ejections: upstream.ejections,
            latency_ratio: upstream.latency_ratio,
            latency_samples: upstream.latency_samples,
        }
    }
}

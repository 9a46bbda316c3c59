//! The transfer of learned state from one process to the next. Times are seconds.

use crate::interface::{LearnedClass, LearnedState, LearnedTenant, LearnedThroughput, LearnedUpstream};
use crate::latency_estimator::ClassStatistics;
use crate::state::Balancer;
use crate::throughput::Throughput;
use crate::token_bucket::TokenBucket;
use crate::upstream::Upstream;

/// Seconds for which an ejection taken over may last at the most.
const MAX_EJECTION_S: f64 = 60.0;
/// The largest latency ratio that is taken over.
const MAX_LATENCY_RATIO: f64 = 5.0;

impl Balancer {
    /// Returns what the next process may know of this one.
    pub fn learned_state(&self) -> LearnedState {
        let listed = self.upstreams.iter().filter(|u| u.is_listed());
        LearnedState {
            throughput: Some(LearnedThroughput::of(&self.throughput)),
            classes: self.classes.iter().map(|c| Some(LearnedClass::of(c))).collect(),
            tenants: self.buckets.iter().map(|b| Some(LearnedTenant::of(b))).collect(),
            upstreams: listed.map(|u| LearnedUpstream::of(u, self.now_s)).collect(),
        }
    }

    /// Goes on where the process before this one stands: else every replacement would begin with slow starts
    /// and full buckets, and learn the same again at the clients' cost.
    pub(crate) fn restore_learned_state(&mut self, learned: &LearnedState) {
        if let Some(learned) = learned.throughput {
            // One that had nothing to do has learned nothing that a fresh start does not grant.
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
            // The later start of the two: of what is listed and what is handed over.
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

/// Takes over what was learned of a class, within what its latency objective makes plausible.
fn restore_class(statistics: &mut ClassStatistics, learned: &LearnedClass, objective: f64, now: f64) {
    let longest = 2.0 * objective;
    statistics.mean_latency = learned.mean_latency.min(longest);
    statistics.answered_latency = learned.answered_latency.min(longest);
    statistics.baseline_latency = learned.baseline_latency.min(longest);
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

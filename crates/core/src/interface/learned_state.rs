//! Learned state that a balancer hands over to its successor, as plain numbers. Times are ages in seconds.

use super::UpstreamId;

/// State that a balancer has learned from its traffic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Completion rates; `None` if unknown.
    pub throughput: Option<LearnedThroughput>,
    /// Latency statistics of each class, by position; `None` if unknown.
    pub classes: Vec<Option<LearnedClass>>,
    /// Token bucket of each tenant, by position; `None` if unknown.
    pub tenants: Vec<Option<LearnedTenant>>,
    /// Upstreams with learned state.
    pub upstreams: Vec<LearnedUpstream>,
}

/// Completion rates of a balancer's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedThroughput {
    /// Completions per second for each unit of weight.
    pub per_weight: f64,
    /// Completions per second over all upstreams.
    pub per_second: f64,
}

/// Latency statistics and traffic share of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedClass {
    /// Mean latency of attempts, including slow ones that timed out or were cancelled.
    pub mean_latency: f64,
    /// Mean latency of answered attempts.
    pub answered_latency: f64,
    /// Lowest recent mean latency, reached with few requests in flight.
    pub baseline_latency: f64,
    /// Time within which nearly all answers arrive.
    pub hedge_delay: f64,
    /// Share of the class among the admitted requests.
    pub admitted_share: f64,
}

/// Token bucket and demand of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedTenant {
    /// Number of tokens in the bucket.
    pub tokens: f64,
    /// Requests per second.
    pub demand: f64,
}

/// State that a balancer has learned about an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedUpstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Seconds since slow start began; `None` if the upstream is not in slow start.
    pub in_slow_start_for: Option<f64>,
    /// Remaining seconds of the ejection; 0 if the upstream is not ejected.
    pub ejected_for: f64,
    /// Consecutive ejections.
    pub ejections: u32,
    /// Mean ratio of the upstream's latencies to the mean latency of their class.
    pub latency_ratio: f64,
    /// Number of latency samples behind `latency_ratio`, decaying over time.
    pub latency_samples: f64,
}

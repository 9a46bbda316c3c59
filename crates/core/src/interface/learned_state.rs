//! The learned state that one balancer may leave to the next, as plain figures. Times are seconds, as ages.

use super::UpstreamId;

/// What a balancer has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// The throughput; `None` if nothing is known.
    pub throughput: Option<LearnedThroughput>,
    /// What was learned of each class, by position; `None` if nothing is known.
    pub classes: Vec<Option<LearnedClass>>,
    /// What was learned of each tenant, by position; `None` if nothing is known.
    pub tenants: Vec<Option<LearnedTenant>>,
    /// The upstreams of which anything is known.
    pub upstreams: Vec<LearnedUpstream>,
}

/// The completions of a balancer's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedThroughput {
    /// Completions a second for each unit of weight.
    pub per_weight: f64,
    /// Completions a second in all.
    pub per_second: f64,
}

/// What was learned of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedClass {
    /// The mean latency of its attempts.
    pub mean_latency: f64,
    /// The mean latency of its attempts that were answered.
    pub answered_latency: f64,
    /// What the mean has come down to when little was in flight.
    pub baseline_latency: f64,
    /// The time within which nearly all answers come.
    pub hedge_delay: f64,
    /// Its share of the admitted requests.
    pub admitted_share: f64,
}

/// The token bucket and the demand of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedTenant {
    /// The tokens in its bucket.
    pub tokens: f64,
    /// Its requests a second.
    pub demand: f64,
}

/// What was learned of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedUpstream {
    /// The upstream.
    pub id: UpstreamId,
    /// For how long it has been in slow start, if it is.
    pub in_slow_start_for: Option<f64>,
    /// For how long it stays ejected.
    pub ejected_for: f64,
    /// Its ejections in a row.
    pub ejections: u32,
    /// The mean ratio of its latencies to the mean of their class.
    pub latency_ratio: f64,
    /// The number of answers behind that ratio, fading.
    pub latency_samples: f64,
}

//! State of a balancer: plain data that the decision modules read and write. Times are in seconds on the
//! embedder's clock unless they are [`Duration`]s.

use crate::idle_connections::IdleConnections;
use crate::interface::{Action, RequestId, Settings, UpstreamId};
use crate::latency_estimator::ClassStatistics;
use crate::observations::Observations;
use crate::random::SeededRandom;
use crate::refresh_queue::RefreshQueue;
use crate::request::Request;
use crate::rotation::Rotation;
use crate::split_table::SplitTable;
use crate::throughput::{CpuUtilization, RecentArrivals, Throughput};
use crate::token_bucket::TokenBucket;
use crate::upstream::{SubsetTotals, SubsetTraits, Upstream};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Decision engine of one balancer. The crate documentation shows its use.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Time of the current event.
    pub(crate) now: Duration,
    /// Time of the current event in seconds.
    pub(crate) now_s: f64,
    /// Actions that answer the current event.
    pub(crate) actions: Vec<Action>,
    pub(crate) rng: SeededRandom,

    /// Known upstreams: the listed ones, and removed ones that have not been dropped yet.
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) index_by_id: FxHashMap<UpstreamId, usize>,
    /// Positions of the upstreams that requests are sent to, in an order specific to this balancer.
    pub(crate) subset: Vec<usize>,
    pub(crate) min_subset_size: usize,
    pub(crate) next_subset_choice_at: f64,
    /// Rotations over the subset: one or, with a traffic split, one per zone.
    pub(crate) rotations: Vec<Rotation>,
    /// Traffic split in force, if any.
    pub(crate) split: Option<Box<SplitTable>>,

    pub(crate) refresh_queue: RefreshQueue,
    /// Index in the subset up to which weights have been refreshed in this round.
    pub(crate) refreshed_until: usize,
    pub(crate) totals: SubsetTotals,
    pub(crate) traits: SubsetTraits,

    pub(crate) requests: FxHashMap<RequestId, Request>,
    /// Times at which attempts become overdue, with the request and the attempt's number.
    pub(crate) overdue_timers: BTreeSet<(Duration, RequestId, u8)>,
    pub(crate) last_attempt_at: f64,
    /// Retry budget: number of retries that may be sent now.
    pub(crate) retry_budget: f64,

    pub(crate) buckets: Vec<TokenBucket>,
    pub(crate) classes: Vec<ClassStatistics>,
    /// Shortest latency objective of all classes.
    pub(crate) shortest_objective: f64,
    pub(crate) throughput: Throughput,
    pub(crate) utilization: CpuUtilization,
    pub(crate) recent_arrivals: RecentArrivals,
    /// Number of requests that the upstreams can take now, `W`.
    pub(crate) headroom: f64,
    /// Extent to which requests may use other zones because the local zone lacks headroom, 0 to 1.
    pub(crate) spillover: f64,

    pub(crate) observations: Observations,
    pub(crate) idle_connections: IdleConnections,
    /// Probability that one more connection breaks after another at upstreams that do answer.
    pub(crate) break_probability: f64,

    pub(crate) has_started: bool,
    pub(crate) last_tick_s: f64,
    pub(crate) discovery: DiscoveryCalls,
}

/// State of the calls to the discovery service.
#[derive(Default)]
pub(crate) struct DiscoveryCalls {
    pub(crate) is_watching: bool,
    pub(crate) next_call_at: f64,
    pub(crate) last_call_at: f64,
    /// Consecutive failures.
    pub(crate) failures: u32,
}

/// Numbers of upstreams that a balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Upstreams listed as ready or draining.
    pub listed: usize,
    /// Listed upstreams that get no requests now, because they drain or are ejected.
    pub avoided: usize,
}

impl Balancer {
    /// Returns the number of state entries: upstreams, requests and timers of attempts. The number is
    /// bounded.
    pub fn state_entries(&self) -> usize {
        let upstreams = self.upstreams.len() + self.index_by_id.len();
        upstreams + self.requests.len() + self.overdue_timers.len()
    }

    /// Returns the number of listed upstreams, and the number that get no requests now.
    pub fn upstream_counts(&self) -> UpstreamCounts {
        let is_ejected = |u: &Upstream| u.is_ejected(self.now_s) && self.traits.respects_ejections;
        let listed = || self.upstreams.iter().filter(|u| u.is_listed());
        let avoided = listed().filter(|u| u.is_draining || is_ejected(u));
        UpstreamCounts { listed: listed().count(), avoided: avoided.count() }
    }
}

/// Returns one balancer's equal part of the tenants' allowances, in requests per second.
pub(crate) fn allowance_per_balancer(settings: &Settings) -> f64 {
    let allowances = settings.tenants.iter().map(|t| t.allowance_per_s);
    let total: f64 = allowances.filter(|a| a.is_finite()).sum();
    total.max(1.0) / f64::from(settings.balancers)
}

/// Returns the shortest latency objective of all classes, in seconds.
pub(crate) fn shortest_objective(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|c| c.latency_objective.as_secs_f64());
    objectives.fold(f64::INFINITY, f64::min)
}

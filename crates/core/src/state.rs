//! The state of a balancer: plain data that the modules of decisions fill and read. Times are seconds on the
//! embedder's clock where they are not [`Duration`]s.

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

/// One balancer's decisions. The crate's page shows its use.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    /// The time of the event in hand.
    pub(crate) now: Duration,
    /// The same in seconds.
    pub(crate) now_s: f64,
    /// The actions that answer the event in hand.
    pub(crate) actions: Vec<Action>,
    pub(crate) rng: SeededRandom,

    /// All upstreams that are listed.
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) index_by_id: FxHashMap<UpstreamId, usize>,
    /// The upstreams that requests are sent to, by position, in this balancer's own order.
    pub(crate) subset: Vec<usize>,
    pub(crate) min_subset_size: usize,
    pub(crate) next_subset_choice_at: f64,
    /// The rotations over the subset: one, or with a traffic split one a zone.
    pub(crate) rotations: Vec<Rotation>,
    /// The traffic split in force.
    pub(crate) split: Option<Box<SplitTable>>,

    pub(crate) refresh_queue: RefreshQueue,
    /// The entry of the subset up to which all weights have been refreshed in this round.
    pub(crate) refreshed_until: usize,
    pub(crate) totals: SubsetTotals,
    pub(crate) traits: SubsetTraits,

    pub(crate) requests: FxHashMap<RequestId, Request>,
    /// When attempts in flight become overdue: the time, the request and the attempt's number.
    pub(crate) overdue_timers: BTreeSet<(Duration, RequestId, u8)>,
    pub(crate) last_attempt_at: f64,
    /// The retries that may be sent now.
    pub(crate) retry_budget: f64,

    pub(crate) buckets: Vec<TokenBucket>,
    pub(crate) classes: Vec<ClassStatistics>,
    /// The shortest latency objective of the classes.
    pub(crate) shortest_objective: f64,
    pub(crate) throughput: Throughput,
    pub(crate) utilization: CpuUtilization,
    pub(crate) recent_arrivals: RecentArrivals,
    /// The requests that the upstreams can take now: `W`.
    pub(crate) headroom: f64,
    /// How far requests are let into other zones, for want of headroom in this one; 0 to 1.
    pub(crate) spillover: f64,

    pub(crate) observations: Observations,
    pub(crate) idle_connections: IdleConnections,
    /// How often one more connection breaks after one has, at the upstreams that do answer.
    pub(crate) break_chance: f64,

    pub(crate) has_started: bool,
    pub(crate) last_tick_s: f64,
    pub(crate) discovery: DiscoveryCalls,
}

/// The calls to the discovery service.
#[derive(Default)]
pub(crate) struct DiscoveryCalls {
    pub(crate) is_watching: bool,
    pub(crate) next_call_at: f64,
    pub(crate) last_call_at: f64,
    /// Failures in a row.
    pub(crate) failures: u32,
}

/// How many upstreams a balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// The upstreams that are listed as ready or draining.
    pub listed: usize,
    /// Of these, the upstreams that get no requests now: they drain, or are ejected.
    pub avoided: usize,
}

impl Balancer {
    /// Returns the number of entries of state held: upstreams, requests, and attempts to look after. It is
    /// bounded.
    pub fn state_entries(&self) -> usize {
        let upstreams = self.upstreams.len() + self.index_by_id.len();
        upstreams + self.requests.len() + self.overdue_timers.len()
    }

    /// Returns how many upstreams are listed, and how many of them get nothing now.
    pub fn upstream_counts(&self) -> UpstreamCounts {
        let is_ejected = |u: &Upstream| u.is_ejected(self.now_s) && self.traits.respects_ejections;
        let listed = || self.upstreams.iter().filter(|u| u.is_listed());
        let avoided = listed().filter(|u| u.is_draining || is_ejected(u));
        UpstreamCounts { listed: listed().count(), avoided: avoided.count() }
    }
}

/// Returns what each balancer gets of all that the tenants are allowed, in requests a second.
pub(crate) fn allowance_per_balancer(settings: &Settings) -> f64 {
    let allowances = settings.tenants.iter().map(|t| t.allowance_per_s);
    let total: f64 = allowances.filter(|a| a.is_finite()).sum();
    total.max(1.0) / f64::from(settings.balancers)
}

/// Returns the shortest latency objective of the classes in seconds.
pub(crate) fn shortest_objective(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|c| c.latency_objective.as_secs_f64());
    objectives.fold(f64::INFINITY, f64::min)
}

//! Random scenarios with many balancers: settings, traffic, and upstreams that start during the scenario.
#![allow(dead_code)]

use super::common::{class, ms};
use maplehook_core::*;

/// Seconds from the beginning of a scenario until some of its upstreams start.
pub const START_TIME_S: f64 = 6.0;
/// Highest request rate of all balancers together. Higher rates take longer to simulate and cover no further
/// cases.
const MAX_RATE_PER_S: f64 = 900.0;
/// Lowest request rate of all balancers together, divided by the number of balancers.
const MIN_BALANCER_RATE_PER_S: f64 = 0.2;
/// Longest time that an idle upstream takes to serve one request, in seconds.
const MAX_SERVICE_TIME_S: f64 = 0.3;
/// Number of parameters of a scenario, each from 0 to 1.
pub const PARAMETER_COUNT: usize = 31;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// Upstreams that no balancer has seen before.
    New,
    /// Upstreams that were listed before and restart.
    Restarted,
}

/// A period in which no upstream serves any request.
#[derive(Clone, Debug)]
pub struct Outage {
    pub start_s: f64,
    pub duration_s: f64,
    /// Outcome of every attempt during the outage; with `TimedOut`, attempts get no answer.
    pub outcome: Outcome,
}

impl Outage {
    pub fn end_s(&self) -> f64 {
        self.start_s + self.duration_s
    }

    pub fn is_active(&self, now: f64) -> bool {
        (self.start_s..self.end_s()).contains(&now)
    }
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub balancers: usize,
    pub upstreams: usize,
    pub settings: Settings,
    /// Requests per second that an upstream of size 1 serves at full capacity.
    pub capacity_per_s: f64,
    /// Average time that an idle upstream takes to serve one request at full capacity, in seconds.
    pub service_time_s: f64,
    /// True if requests take longer during slow start; false if only fewer of them are served per second.
    pub has_longer_latency_in_slow_start: bool,
    /// Seconds of work that an upstream queues before it rejects requests.
    pub queue_limit_s: f64,
    /// Requests per second to all balancers together, outside of the burst.
    pub rate_per_s: f64,
    /// Start and duration, in seconds, of a burst with 1.5 times the request rate.
    pub burst: (f64, f64),
    /// Number of upstreams that start at `START_TIME_S`; these have the lowest indexes.
    pub starting_count: usize,
    pub start_kind: StartKind,
    /// Seconds for which restarting upstreams are unreachable before they start.
    pub downtime_s: f64,
    /// Index of a class whose requests the starting upstreams never answer.
    pub unanswered_class: Option<usize>,
    /// Longest time from the start of the upstreams until a balancer is notified, in seconds.
    pub max_notification_delay_s: f64,
    /// True if the notification lists all endpoints; false if it lists only the changed ones.
    pub uses_full_updates: bool,
    /// True if endpoint updates include the start time of new upstreams, as they do for restarted ones.
    pub has_start_times: bool,
    /// Share of the balancers that restart at `START_TIME_S` without learned state.
    pub restart_share: f64,
    /// Share of the balancers that restart at `START_TIME_S` with the learned state of their predecessors.
    pub handover_share: f64,
    /// Outage of all upstreams. Random scenarios have an outage of zero length, which tests may replace.
    pub outage: Outage,
    pub duration_s: f64,
    sizes: Vec<f64>,
    zones: usize,
    balancer_shares: Vec<f64>, // cumulative shares of the traffic, by balancer
    tenant_shares: Vec<f64>,   // cumulative shares of the traffic, by tenant
}

/// Interpolates linearly between two bounds, for `x` from 0 to 1.
fn interpolate(x: f64, low: f64, high: f64) -> f64 {
    low + x * (high - low)
}

/// Interpolates between two bounds on a logarithmic scale, for `x` from 0 to 1.
fn interpolate_log(x: f64, low: f64, high: f64) -> f64 {
    low * (high / low).powf(x)
}

/// Returns the cumulative sums of the values, scaled to a total of 1.
fn cumulative_shares(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums: Vec<f64> = values
        .map(|value| {
            sum += value;
            sum
        })
        .collect();
    sums.iter_mut().for_each(|s| *s /= sum);
    sums
}

impl Scenario {
    /// Creates a scenario whose parameters are drawn from a generator with this seed.
    pub fn from_seed(balancers: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self::from_parameters(balancers, seed, &std::array::from_fn(|_| rng.f64()))
    }

    /// Creates a scenario from the parameters `x`, each from 0 to 1. `seed` determines the sizes of upstreams
    /// and the traffic shares of balancers and tenants.
    pub fn from_parameters(balancers: usize, seed: u64, x: &[f64; PARAMETER_COUNT]) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let upstreams = interpolate_log(x[0], 3.0, 200.0) as usize;
        let load = interpolate(x[2], 0.2, 1.1);
        let sizes: Vec<f64> =
            (0..upstreams).map(|_| if x[3] < 0.5 { 1.0 } else { f64::from(1 << rng.u32(0..3)) }).collect();
        // The request rate is low enough for a fast simulation, and high enough for each balancer to receive
        // requests.
        let cores = interpolate_log(x[1], 1.0, 16.0);
        let offered_load = load * sizes.iter().sum::<f64>();
        let capacity_per_s =
            (cores / interpolate_log(x[5], 0.01, MAX_SERVICE_TIME_S)).min(MAX_RATE_PER_S / offered_load);
        let capacity_per_s = capacity_per_s.max(MIN_BALANCER_RATE_PER_S * balancers as f64 / offered_load);
        let service_time_s = (cores / capacity_per_s).min(f64::max(MAX_SERVICE_TIME_S, 1.0 / capacity_per_s));
        let rate_per_s = capacity_per_s * offered_load;
        let class_count = 1 + (x[4] * 3.0) as usize;
        let effects = [
            Effect::Idempotent,
            Effect::AtMostOnce,
            Effect::Deduplicated { group: DedupGroup::All, ttl: ms(2000) },
        ];
        let max_objective_ms = interpolate(x[6], 3.0, 20.0) * service_time_s * 1e3;
        let classes = (0..class_count).map(|k| {
            let objective_ms = (max_objective_ms * (1.0 - 0.3 * k as f64)).max(60.0);
            class(
                objective_ms as u64,
                (objective_ms * interpolate(x[7], 1.2, 4.0)) as u64,
                effects[(k + seed as usize) % 3],
            )
        });
        let classes: Vec<Class> = classes.collect();
        // The allowances and the traffic of tenants are drawn independently.
        let tenant_count = if x[8] < 0.1 { 0 } else { 1 + (x[8] * 5.0) as usize };
        let total_allowance_per_s = interpolate(x[9], 0.45, 1.1) * rate_per_s / load;
        let tenant_weights: Vec<f64> = (0..tenant_count).map(|_| 0.1 + rng.f64()).collect();
        let total_weight: f64 = tenant_weights.iter().sum();
        let allowance =
            |weight: &f64| Tenant { allowance_per_s: total_allowance_per_s * weight / total_weight };
        let starting_share = [0.0, 0.1, 0.3, 0.6][(x[10] * 3.999) as usize];
        let settings = Settings {
            balancers: balancers as u32,
            classes: classes.clone(),
            tenants: tenant_weights.iter().map(allowance).collect(),
            slow_start_min_share: interpolate(x[11], 0.05, 0.9),
            slow_start_window: ms(interpolate_log(x[12], 1e3, 60e3) as u64),
            overload_multiple: interpolate(x[13], 1.2, 5.0),
            overload_window: ms(interpolate_log(x[14], 300.0, 5e3) as u64),
            can_hedge: x[15] < 0.6,
            can_cancel: x[16] < 0.7,
            weights: if x[3] < 0.3 { Weights::Off } else { Weights::Size },
            reports: if x[17] < 0.3 { Reports::Inline } else { Reports::Off },
            report_fields: if x[17] < 0.3 { vec![LoadField::Utilization] } else { Vec::new() },
            prices: Prices { cross_zone: if x[18] < 0.5 { 0.0 } else { 0.02 }, ..Prices::default() },
            ..Settings::default()
        };
        let duration_s = START_TIME_S + (settings.slow_start_window.as_secs_f64() + 1.0).min(9.0);
        let skew = interpolate(x[19], 0.0, 1.2);
        Self {
            seed,
            balancers,
            upstreams,
            capacity_per_s,
            service_time_s,
            has_longer_latency_in_slow_start: x[20] < 0.5,
            queue_limit_s: interpolate(x[21], 0.2, 1.0),
            rate_per_s,
            burst: (START_TIME_S + interpolate(x[22], -2.0, 4.0), interpolate(x[23], 0.5, 5.0)),
            starting_count: ((starting_share * upstreams as f64) as usize).max(1),
            start_kind: if x[24] < 0.5 { StartKind::New } else { StartKind::Restarted },
            downtime_s: interpolate(x[25], 0.05, 1.5),
            unanswered_class: (x[26] > 0.8).then_some(0),
            max_notification_delay_s: interpolate(x[27], 0.0, 2.0),
            uses_full_updates: x[28] < 0.5,
            // A balancer that starts without learned state recognizes new upstreams only by their start
            // times.
            has_start_times: x[28] * 4.0 % 1.0 < 0.5 || x[29] >= 0.5,
            restart_share: if x[29] < 0.5 { 0.0 } else { interpolate(x[29], -0.5, 0.9) },
            handover_share: if x[30] < 0.5 { 0.0 } else { interpolate(x[30], -0.1, 0.1) },
            outage: Outage { start_s: 0.0, duration_s: 0.0, outcome: Outcome::ConnectFailed },
            duration_s,
            zones: 1 + (rng.usize(0..4) % upstreams),
            balancer_shares: cumulative_shares(
                (0..balancers).map(|_| (skew * 2.0 * (rng.f64() - 0.5) * 2.0).exp()),
            ),
            tenant_shares: cumulative_shares((0..tenant_count.max(1)).map(|_| 0.1 + rng.f64())),
            settings,
            sizes,
        }
    }

    pub fn balancer_settings(&self, index: usize) -> Settings {
        Settings { index: index as u32, zone: ZoneId((index % self.zones) as u8), ..self.settings.clone() }
    }

    pub fn upstream_size(&self, j: usize) -> f64 {
        self.sizes[j]
    }

    pub fn upstream_id(&self, j: usize) -> UpstreamId {
        UpstreamId((j as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    pub fn index_of(&self, id: UpstreamId) -> usize {
        (0..self.upstreams).find(|j| self.upstream_id(*j) == id).expect("the upstream is listed")
    }

    pub fn endpoint(&self, j: usize, is_after_start: bool) -> Endpoint {
        let is_starting = is_after_start && j < self.starting_count;
        let started = (is_starting && (self.has_start_times || self.start_kind == StartKind::Restarted))
            .then(|| std::time::Duration::from_secs_f64(START_TIME_S));
        Endpoint {
            id: self.upstream_id(j),
            zone: ZoneId((j % self.zones) as u8),
            kind: KindId(0),
            cell: CellId(0),
            availability: Availability::Ready,
            weight: self.sizes[j],
            started,
        }
    }

    pub fn rate_at(&self, now: f64) -> f64 {
        let is_in_burst = (self.burst.0..self.burst.0 + self.burst.1).contains(&now);
        self.rate_per_s * if is_in_burst { 1.5 } else { 1.0 }
    }

    pub fn pick_balancer(&self, x: f64) -> usize {
        self.balancer_shares.partition_point(|s| *s < x).min(self.balancers - 1)
    }

    pub fn pick_tenant(&self, x: f64) -> usize {
        self.tenant_shares.partition_point(|s| *s < x).min(self.tenant_shares.len() - 1)
    }

    /// Returns the fraction of its full capacity that an upstream has `age_s` seconds after its start.
    pub fn capacity_share(&self, age_s: f64) -> f64 {
        let min_share = self.settings.slow_start_min_share;
        min_share
            + (1.0 - min_share) * (age_s / self.settings.slow_start_window.as_secs_f64()).clamp(0.0, 1.0)
    }

    /// Returns the number of requests that upstream `j` would receive during slow start if its share of the
    /// traffic equalled its share of the capacity.
    pub fn fair_request_count(&self, j: usize) -> f64 {
        let slow_start_s = self.settings.slow_start_window.as_secs_f64().min(self.duration_s - START_TIME_S);
        let requests_per_s = self.rate_per_s * self.upstream_size(j) / self.sizes.iter().sum::<f64>();
        requests_per_s * slow_start_s * 0.5 * (self.capacity_share(0.0) + self.capacity_share(slow_start_s))
    }

    /// Returns the highest number of requests that upstream `j` may receive in an overload window that begins
    /// `age_s` seconds after its start.
    pub fn overload_bound(&self, j: usize, age_s: f64) -> f64 {
        let (window_s, slow_start_s) =
            (self.settings.overload_window.as_secs_f64(), self.settings.slow_start_window.as_secs_f64());
        // Mean capacity share over the window. The share rises linearly until slow start ends, and is
        // constant afterwards.
        let rise_s = (slow_start_s - age_s).clamp(0.0, window_s);
        let mean_share = (rise_s * 0.5 * (self.capacity_share(age_s) + self.capacity_share(age_s + rise_s))
            + (window_s - rise_s))
            / window_s;
        let requests = self.settings.overload_multiple
            * self.capacity_per_s
            * self.upstream_size(j)
            * mean_share
            * window_s;
        requests + 2.0 * requests.sqrt() + 2.0
    }
}

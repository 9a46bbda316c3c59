//! A day for many balancers, drawn: settings, traffic, and what starts cold when.
#![allow(dead_code)]

use super::common::{class, ms};
use maplehook_core::*;

/// Seconds after which upstreams start cold.
pub const START: f64 = 6.0;
/// Most requests a second of a drawn day: those of more would tell nothing else.
const RATE_MOST: f64 = 900.0;
/// Fewest that one balancer gets on average.
const RATE_LEAST: f64 = 0.2;
/// Seconds that one takes at the most, alone.
const SERVICE_MOST: f64 = 0.3;
/// How many figures a day is drawn from.
pub const FIGURES: usize = 31;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cold {
    /// Upstreams that nobody knew.
    New,
    /// They were there before, and restart.
    Restarted,
}

/// A time in which no upstream serves anything.
#[derive(Clone, Debug)]
pub struct Outage {
    pub from: f64,
    pub lasts: f64,
    /// How attempts end; timed out: they hang.
    pub outcome: Outcome,
}

impl Outage {
    pub fn until(&self) -> f64 {
        self.from + self.lasts
    }

    pub fn holds(&self, now: f64) -> bool {
        (self.from..self.until()).contains(&now)
    }
}

#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub balancers: usize,
    pub upstreams: usize,
    pub set: Settings,
    /// Requests a second that an upstream of size 1 can do when warm.
    pub able: f64,
    /// Seconds that one takes.
    pub service: f64,
    /// Whether one takes longer at a cold upstream, or the upstream only does fewer side by side.
    pub slow_when_cold: bool,
    /// Seconds of work that may wait at an upstream.
    pub queue: f64,
    /// Requests a second in all, before the burst.
    pub rate: f64,
    /// When half as many again come, for how long.
    pub burst: (f64, f64),
    /// The first upstreams so many start cold.
    pub cold: usize,
    pub kind: Cold,
    /// Seconds that those which restart are away.
    pub down: f64,
    /// The class that those which start cold never answer.
    pub hangs_for: Option<usize>,
    /// Seconds within which balancers are told.
    pub late: f64,
    /// Told by a whole list, and not by what has changed.
    pub whole: bool,
    /// Whether a list says when an upstream that nobody knew has started.
    pub dated: bool,
    /// Share of the balancers that restart in that moment, knowing nothing; by a hand-over.
    pub fresh: f64,
    pub handed: f64,
    /// Of all upstreams; none is drawn.
    pub outage: Outage,
    pub length: f64,
    sizes: Vec<f64>,
    zones: usize,
    shares: Vec<f64>,  // of the traffic, cumulated, by balancer
    tenants: Vec<f64>, // the same by tenant
}

/// One of two ends in proportion, or in proportion of the logarithm.
fn between(x: f64, least: f64, most: f64) -> f64 {
    least + x * (most - least)
}

fn scale(x: f64, least: f64, most: f64) -> f64 {
    least * (most / least).powf(x)
}

fn cumulated(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums: Vec<f64> = parts
        .map(|part| {
            sum += part;
            sum
        })
        .collect();
    sums.iter_mut().for_each(|s| *s /= sum);
    sums
}

impl Day {
    /// The day of that number.
    pub fn numbered(balancers: usize, seed: u64) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed);
        Self::drawn(balancers, seed, &std::array::from_fn(|_| chance.f64()))
    }

    /// The day that figures from 0 to 1 stand for.
    pub fn drawn(balancers: usize, seed: u64, x: &[f64; FIGURES]) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed);
        let upstreams = scale(x[0], 3.0, 200.0) as usize;
        let load = between(x[2], 0.2, 1.1);
        let sizes: Vec<f64> =
            (0..upstreams).map(|_| if x[3] < 0.5 { 1.0 } else { f64::from(1 << chance.u32(0..3)) }).collect();
        // As many requests as are still quickly played, and as one balancer sees a few of.
        let cores = scale(x[1], 1.0, 16.0);
        let offered = load * sizes.iter().sum::<f64>();
        let able = (cores / scale(x[5], 0.01, SERVICE_MOST)).min(RATE_MOST / offered);
        let able = able.max(RATE_LEAST * balancers as f64 / offered);
        let service = (cores / able).min(f64::max(SERVICE_MOST, 1.0 / able));
        let rate = able * offered;
        let classes = 1 + (x[4] * 3.0) as usize;
        let effects = [
            Effect::Idempotent,
            Effect::AtMostOnce,
            Effect::Deduplicated { group: DedupGroup::All, ttl: ms(2000) },
        ];
        let longest = between(x[6], 3.0, 20.0) * service * 1e3;
        let classes = (0..classes).map(|k| {
            let aim = (longest * (1.0 - 0.3 * k as f64)).max(60.0);
            class(aim as u64, (aim * between(x[7], 1.2, 4.0)) as u64, effects[(k + seed as usize) % 3])
        });
        let classes: Vec<Class> = classes.collect();
        // What a few tenants are granted together, and what they send, are drawn one by one.
        let tenants = if x[8] < 0.1 { 0 } else { 1 + (x[8] * 5.0) as usize };
        let granted = between(x[9], 0.45, 1.1) * rate / load;
        let parts: Vec<f64> = (0..tenants).map(|_| 0.1 + chance.f64()).collect();
        let sum: f64 = parts.iter().sum();
        let allowance = |part: &f64| Tenant { allowance_per_s: granted * part / sum };
        let cold_share = [0.0, 0.1, 0.3, 0.6][(x[10] * 3.999) as usize];
        let set = Settings {
            balancers: balancers as u32,
            classes: classes.clone(),
            tenants: parts.iter().map(allowance).collect(),
            slow_start_min_share: between(x[11], 0.05, 0.9),
            slow_start_window: ms(scale(x[12], 1e3, 60e3) as u64),
            overload_multiple: between(x[13], 1.2, 5.0),
            overload_window: ms(scale(x[14], 300.0, 5e3) as u64),
            can_hedge: x[15] < 0.6,
            can_cancel: x[16] < 0.7,
            weights: if x[3] < 0.3 { Weights::Off } else { Weights::Size },
            reports: if x[17] < 0.3 { Reports::Inline } else { Reports::Off },
            report_fields: if x[17] < 0.3 { vec![LoadField::Utilization] } else { Vec::new() },
            prices: Prices { cross_zone: if x[18] < 0.5 { 0.0 } else { 0.02 }, ..Prices::default() },
            ..Settings::default()
        };
        let length = START + (set.slow_start_window.as_secs_f64() + 1.0).min(9.0);
        let skew = between(x[19], 0.0, 1.2);
        Self {
            seed,
            balancers,
            upstreams,
            able,
            service,
            slow_when_cold: x[20] < 0.5,
            queue: between(x[21], 0.2, 1.0),
            rate,
            burst: (START + between(x[22], -2.0, 4.0), between(x[23], 0.5, 5.0)),
            cold: ((cold_share * upstreams as f64) as usize).max(1),
            kind: if x[24] < 0.5 { Cold::New } else { Cold::Restarted },
            down: between(x[25], 0.05, 1.5),
            hangs_for: (x[26] > 0.8).then_some(0),
            late: between(x[27], 0.0, 2.0),
            whole: x[28] < 0.5,
            // Nobody who comes anew can tell a start from a list that does not date it.
            dated: x[28] * 4.0 % 1.0 < 0.5 || x[29] >= 0.5,
            fresh: if x[29] < 0.5 { 0.0 } else { between(x[29], -0.5, 0.9) },
            handed: if x[30] < 0.5 { 0.0 } else { between(x[30], -0.1, 0.1) },
            outage: Outage { from: 0.0, lasts: 0.0, outcome: Outcome::ConnectFailed },
            length,
            zones: 1 + (chance.usize(0..4) % upstreams),
            shares: cumulated((0..balancers).map(|_| (skew * 2.0 * (chance.f64() - 0.5) * 2.0).exp())),
            tenants: cumulated((0..tenants.max(1)).map(|_| 0.1 + chance.f64())),
            set,
            sizes,
        }
    }

    pub fn settings(&self, index: usize) -> Settings {
        Settings { index: index as u32, zone: ZoneId((index % self.zones) as u8), ..self.set.clone() }
    }

    pub fn size(&self, j: usize) -> f64 {
        self.sizes[j]
    }

    pub fn id(&self, j: usize) -> UpstreamId {
        UpstreamId((j as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    pub fn place(&self, id: UpstreamId) -> usize {
        (0..self.upstreams).find(|j| self.id(*j) == id).expect("an upstream that was listed")
    }

    pub fn listed(&self, j: usize, told: bool) -> Endpoint {
        let starts_cold = told && j < self.cold;
        let started = (starts_cold && (self.dated || self.kind == Cold::Restarted))
            .then(|| std::time::Duration::from_secs_f64(START));
        Endpoint {
            id: self.id(j),
            zone: ZoneId((j % self.zones) as u8),
            kind: KindId(0),
            cell: CellId(0),
            availability: Availability::Ready,
            weight: self.sizes[j],
            started,
        }
    }

    pub fn rate_at(&self, now: f64) -> f64 {
        let more = (self.burst.0..self.burst.0 + self.burst.1).contains(&now);
        self.rate * if more { 1.5 } else { 1.0 }
    }

    pub fn balancer_of(&self, x: f64) -> usize {
        self.shares.partition_point(|s| *s < x).min(self.balancers - 1)
    }

    pub fn tenant_of(&self, x: f64) -> usize {
        self.tenants.partition_point(|s| *s < x).min(self.tenants.len() - 1)
    }

    /// The share of its work that an upstream can do so long after its start.
    pub fn climb(&self, age: f64) -> f64 {
        let from = self.set.slow_start_min_share;
        from + (1.0 - from) * (age / self.set.slow_start_window.as_secs_f64()).clamp(0.0, 1.0)
    }

    /// What all together would send an upstream while it is cold if it got its part of the traffic for what it can do.
    pub fn fair(&self, j: usize) -> f64 {
        let cold_for = self.set.slow_start_window.as_secs_f64().min(self.length - START);
        let each = self.rate * self.size(j) / self.sizes.iter().sum::<f64>();
        each * cold_for * 0.5 * (self.climb(0.0) + self.climb(cold_for))
    }

    /// What pushes an upstream over that gets more of it in one fall time from that age on.
    pub fn bound(&self, j: usize, age: f64) -> f64 {
        let (over, warm) = (self.set.overload_window.as_secs_f64(), self.set.slow_start_window.as_secs_f64());
        // The mean of a line that turns level once warm.
        let rises = (warm - age).clamp(0.0, over);
        let mean = (rises * 0.5 * (self.climb(age) + self.climb(age + rises)) + (over - rises)) / over;
        let n = self.set.overload_multiple * self.able * self.size(j) * mean * over;
        n + 2.0 * n.sqrt() + 2.0
    }
}

//! Who is asked how much, and what becomes of it: unequal balancers, zones, classes and tenants; loads and troubles that zones have in
//! common and that last. The same seed, second and balancer give the same draws, whatever was decided before.

use super::harm::{CRASHES_AFTER, Harm, STARTS_IN};
use maplehook_canary::IntervalReport;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Poisson, StandardNormal};

/// The longest a change is watched, in seconds.
pub const DAY: usize = 3600;
/// Zones, by how many balancers each has.
const ZONES: [(&str, usize); 4] = [("a", 5), ("b", 4), ("c", 2), ("d", 1)];
/// Tenants: their part of the requests, and how many of theirs fail anyway.
const TENANTS: [(&str, f64, f64); 3] =
    [("large", 0.65, 0.001), ("middle", 0.3, 0.003), ("small", 0.05, 0.01)];
/// Classes: their part, median time in ms, and their aim in ms.
const CLASSES: [(&str, f64, f64, f64); 2] = [("look", 0.8, 15.0, 100.0), ("book", 0.2, 40.0, 300.0)];
/// Requests a second that a balancer has on the average.
const RATE: f64 = 60.0;
/// Of a natural logarithm, over requests: a tenth takes twice as long.
const SPREAD: f64 = 0.5;

/// A balancer.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Its zone's number.
    pub zone: usize,
    rate: f64,
    tenants: [f64; 3],
    cpu: f64,
    memory: f64,
}

/// A day's factors by second: load, times, failures.
struct Weather {
    load: Vec<f64>,
    times: Vec<f64>,
    fails: Vec<f64>,
}

/// All of them, and their day.
pub struct Fleet {
    seed: u64,
    /// Who there is.
    pub balancers: Vec<Balancer>,
    zones: Vec<Weather>,
}

/// What a balancer did in a second.
pub struct Did {
    /// As it tells.
    pub report: IntervalReport,
    /// Requests that the change did harm to.
    pub harmed: u64,
}

fn drawn(seed: u64, of: u64, second: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (of << 32) ^ second)
}

/// Factors round 1 whose logarithms wander by so much, and forget in so many seconds.
fn wanders(rng: &mut ChaCha8Rng, by: f64, forgets: f64) -> Vec<f64> {
    let keeps = (-1.0 / forgets).exp();
    let (fresh, mut at) = ((1.0 - keeps * keeps).sqrt(), 0.0);
    (0..DAY)
        .map(|_| {
            let step: f64 = rng.sample(StandardNormal);
            at = keeps * at + fresh * step;
            (by * at).exp()
        })
        .collect()
}

impl Fleet {
    /// So many, by a seed.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = drawn(seed, u64::MAX >> 32, 0);
        let all: usize = ZONES.iter().map(|(_, size)| size).sum();
        let places: Vec<usize> =
            ZONES.iter().enumerate().flat_map(|(zone, (_, size))| std::iter::repeat_n(zone, *size)).collect();
        let balancers = (0..count)
            .map(|n| {
                let mut near = |by: f64| {
                    let step: f64 = rng.sample(StandardNormal);
                    (by * step).exp()
                };
                let tenants = TENANTS.map(|(_, part, _)| part * near(0.5));
                let sum: f64 = tenants.iter().sum();
                Balancer {
                    name: format!("b{n:03}"),
                    // Spread, so that few balancers are in several zones too.
                    zone: places[n * 5 % all],
                    rate: RATE * near(0.4),
                    tenants: tenants.map(|part| part / sum),
                    cpu: 300.0 * near(0.03),
                    memory: 9000.0 * near(0.03),
                }
            })
            .collect();
        let (common, slow) = (wanders(&mut rng, 0.2, 300.0), wanders(&mut rng, 0.1, 60.0));
        let zones = ZONES.map(|_| {
            let mut both = |of: &[f64], by: f64, forgets: f64| -> Vec<f64> {
                wanders(&mut rng, by, forgets).iter().zip(of).map(|(a, b)| a * b).collect()
            };
            let (load, times) = (both(&common, 0.1, 60.0), both(&slow, 0.1, 20.0));
            let fails = both(&load, 0.5, 30.0);
            Weather { load, times, fails }
        });
        Self { seed, balancers, zones: zones.into() }
    }

    /// A zone's name.
    pub fn zone(&self, n: usize) -> &'static str {
        ZONES[self.balancers[n].zone].0
    }

    /// What a balancer does in a second; `changed`: what the change does there, and for how many seconds.
    pub fn second(&self, n: usize, second: usize, changed: Option<(Harm, u64)>) -> Did {
        let (balancer, at) = (&self.balancers[n], second.min(DAY - 1));
        let weather = &self.zones[balancer.zone];
        let mut rng = drawn(self.seed, n as u64, second as u64);
        let mut report = IntervalReport::new(second as u64, self.zone(n));
        let (harm, since) = changed.unwrap_or((Harm::None, 0));
        let turn = CRASHES_AFTER + STARTS_IN;
        let down = harm == Harm::Crashes && since % turn >= CRASHES_AFTER;
        report.crashes = u32::from(harm == Harm::Crashes && since % turn == CRASHES_AFTER);
        let mut harmed = 0;
        for (tenant, (name, _, fails)) in TENANTS.iter().enumerate() {
            for (class, part, median, aim) in CLASSES {
                let rate = balancer.rate * weather.load[at] * balancer.tenants[tenant] * part;
                let count = Poisson::new(rate.max(1e-9)).map_or(0.0, |counts| counts.sample(&mut rng)) as u64;
                let median = median * weather.times[at];
                let Ok(times) = LogNormal::new(median.ln(), SPREAD) else { continue };
                let cell = report.counts_mut(class, name);
                for _ in 0..count {
                    // All draws of a request are made whatever becomes of it.
                    let (chance, fate, ms) =
                        (rng.random::<f64>(), rng.random::<f64>(), times.sample(&mut rng));
                    let hit = match harm {
                        Harm::Fails(share) => chance < share,
                        Harm::Tenant(share) => tenant + 1 == TENANTS.len() && chance < share,
                        _ => down,
                    };
                    let longer = if let Harm::Slower(ms) = harm { ms } else { 0.0 };
                    let refused = 0.002 * weather.load[at].powi(2);
                    harmed += u64::from(hit || longer > 0.0);
                    if hit || fate < fails * weather.fails[at] {
                        cell.failed += 1;
                    } else if fate > 1.0 - refused {
                        cell.rejected += 1;
                    } else {
                        let ms = ms + longer;
                        cell.record_served((1e3 * ms) as u64, ms > aim);
                    }
                }
            }
        }
        let total = report.total() as f64;
        report.cpu_us = (total * balancer.cpu * (1.0 + 0.02 * rng.sample::<f64, _>(StandardNormal))) as u64;
        report.memory_kb = (balancer.memory * weather.load[at].powf(0.1)) as u64;
        let leak = if harm == Harm::Leaks { 0.01 * since as f64 } else { 0.0 };
        report.descriptors = ((60.0 + total) * (1.0 + leak)) as u64;
        Did { report, harmed }
    }
}

//! Adaptive concurrency before the better of two: a limit on what is out, moved by the gradient of latency (Envoy,
//! "Adaptive Concurrency", gradient controller).

use super::Decides;
use super::peer::{Endpoints, Held, Manner, Peer, Pick, any};
use crate::world::World;
use maplehook_core::Outcome;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Envoy's defaults: `sample_aggregate_percentile`, `concurrency_update_interval`, `min_rtt_calc_params.interval`,
/// `request_count`, `buffer`, `max_concurrency_limit`, and the concurrency while the least latency is measured.
const PERCENTILE: f64 = 0.5;
const UPDATE: Duration = Duration::from_millis(100);
const MEASURE_EVERY: Duration = Duration::from_secs(60);
const MEASURED_BY: usize = 50;
const BUFFER: f64 = 0.25;
const MOST: f64 = 1000.0;
const LEAST: f64 = 3.0;

struct Gradient {
    limit: f64,
    least: f64,
    samples: Vec<f64>,
    update_at: Duration,
    measure_at: Duration,
    measuring: bool,
}

impl Gradient {
    fn sample(&mut self, now: Duration, took: f64) {
        self.samples.push(took);
        if self.measuring {
            if self.samples.len() >= MEASURED_BY {
                self.least = percentile(&mut self.samples);
                (self.measuring, self.measure_at) = (false, now + MEASURE_EVERY);
                self.samples.clear();
                self.update_at = now + UPDATE;
            }
            return;
        }
        if now >= self.measure_at {
            self.measuring = true;
            self.limit = LEAST;
            self.samples.clear();
        } else if now >= self.update_at && !self.samples.is_empty() {
            let now_is = percentile(&mut self.samples).max(1e-6);
            let gradient = (self.least * (1.0 + BUFFER) / now_is).clamp(0.5, 2.0);
            let limit = self.limit * gradient;
            self.limit = (limit + limit.sqrt()).clamp(LEAST, MOST);
            self.samples.clear();
            self.update_at = now + UPDATE;
        }
    }
}

fn percentile(samples: &mut [f64]) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples[((samples.len() - 1) as f64 * PERCENTILE) as usize]
}

impl Pick for Gradient {
    fn admits(&mut self, _: Duration, _: u32, out: usize) -> bool {
        (out as f64) < self.limit
    }

    fn pick(&mut self, _: Duration, to: &Endpoints, held: &Held, chance: &mut ChaCha8Rng) -> Option<usize> {
        let (a, b) = (any(to, held, chance)?, any(to, held, chance)?);
        Some(if to.all[b].out < to.all[a].out { b } else { a })
    }

    fn learns(&mut self, now: Duration, _: &mut Endpoints, _: usize, outcome: Outcome, took: Duration) {
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.sample(now, took.as_secs_f64());
        }
    }
}

pub(super) fn make(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    let pick = Gradient {
        limit: LEAST,
        least: 0.0,
        samples: Vec::new(),
        update_at: Duration::ZERO,
        measure_at: Duration::ZERO,
        measuring: true,
    };
    Box::new(Peer::new(world.classes.clone(), Manner::PLAIN, seed, pick))
}

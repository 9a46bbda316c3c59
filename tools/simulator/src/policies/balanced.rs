//! The better of two: by requests out, as Envoy's least request has it, or by peak EWMA, as Linkerd's and Finagle's.

use super::Decides;
use super::peer::{Endpoint, Endpoints, Held, Manner, Peer, Pick, any};
use crate::world::World;
use maplehook_core::Outcome;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Envoy, "Outlier detection": `consecutive_5xx`, `base_ejection_time`, `max_ejection_percent`.
const FAULTS: u32 = 5;
const EJECTED_FOR: Duration = Duration::from_secs(30);
const EJECTED_MOST: f64 = 0.1;
/// Envoy, "Panic threshold": with fewer healthy ones than this share, health is not looked at.
const PANIC: f64 = 0.5;
/// Linkerd, "Circuit breaking": `failure-accrual-consecutive-max-failures`, and its first and longest penalty.
const ACCRUAL: u32 = 7;
const PENALTY: Duration = Duration::from_secs(1);
const PENALTY_MOST: Duration = Duration::from_secs(60);
/// Linkerd's and Finagle's decay of the EWMA, and what an endpoint that nothing is known of counts for.
const DECAY: f64 = 10.0;
const UNKNOWN: f64 = 0.03;

#[derive(Clone, Copy, PartialEq)]
enum By {
    Requests { outliers: bool },
    Latency,
}

struct Better(By);

impl Better {
    fn cost(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let out = f64::from(endpoint.out + 1);
        match self.0 {
            By::Requests { .. } => out / endpoint.weight,
            By::Latency => {
                let idle = now.saturating_sub(endpoint.stamp).as_secs_f64();
                let ewma = if endpoint.stamp.is_zero() { UNKNOWN } else { endpoint.ewma };
                out * ewma * (-idle / DECAY).exp()
            }
        }
    }

    fn shuns(&self, now: Duration, to: &Endpoints) -> bool {
        match self.0 {
            By::Requests { outliers } => {
                outliers && (to.ejected(now) as f64) < (1.0 - PANIC) * to.ready.len() as f64
            }
            By::Latency => true,
        }
    }
}

impl Pick for Better {
    fn pick(&mut self, now: Duration, to: &Endpoints, held: &Held, chance: &mut ChaCha8Rng) -> Option<usize> {
        let shuns = self.shuns(now, to);
        let mut draw = || {
            let mut at = any(to, held, chance)?;
            // Endpoints that are out are drawn again; where all seem to be, any will do.
            for _ in 0..8 {
                if !shuns || to.all[at].ejected_until <= now {
                    break;
                }
                at = any(to, held, chance)?;
            }
            Some(at)
        };
        let (a, b) = (draw()?, draw()?);
        let better = self.cost(now, &to.all[b]) < self.cost(now, &to.all[a]);
        Some(if better { b } else { a })
    }

    fn learns(&mut self, now: Duration, to: &mut Endpoints, at: usize, outcome: Outcome, took: Duration) {
        let well = matches!(outcome, Outcome::Ok | Outcome::Cancelled);
        let (ejected, ready) = (to.ejected(now) as f64, to.ready.len() as f64);
        let endpoint = &mut to.all[at];
        endpoint.faults = if well { 0 } else { endpoint.faults + 1 };
        match self.0 {
            By::Requests { outliers: false } => {}
            By::Requests { outliers: true } => {
                if endpoint.faults >= FAULTS && ejected < (EJECTED_MOST * ready).max(1.0) {
                    endpoint.faults = 0;
                    let until = now + EJECTED_FOR * (endpoint.ejections + 1).min(10);
                    to.eject(at, until);
                }
            }
            By::Latency => {
                let (rtt, gone) = (took.as_secs_f64(), now.saturating_sub(endpoint.stamp).as_secs_f64());
                // A rise counts at once, a fall by and by.
                let keep = if endpoint.stamp.is_zero() { 0.0 } else { (-gone / DECAY).exp() };
                endpoint.ewma =
                    if rtt > endpoint.ewma { rtt } else { endpoint.ewma * keep + rtt * (1.0 - keep) };
                endpoint.stamp = now;
                if well {
                    endpoint.ejections = 0;
                } else if endpoint.faults >= ACCRUAL {
                    endpoint.faults = 0;
                    let penalty = PENALTY * (1 << endpoint.ejections.min(6));
                    to.eject(at, now + penalty.min(PENALTY_MOST));
                }
            }
        }
    }
}

/// Envoy: `retry_on: 5xx`, one retry, `retry_budget` of 20 %.
pub(super) fn envoy(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    let manner = Manner { retries: 1, budget: 0.2, ..Manner::PLAIN };
    Box::new(Peer::new(world.classes.clone(), manner, seed, Better(By::Requests { outliers: true })))
}

pub(super) fn textbook(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    Box::new(Peer::new(world.classes.clone(), Manner::PLAIN, seed, Better(By::Requests { outliers: false })))
}

/// Linkerd: `retryRatio: 0.2`.
pub(super) fn linkerd(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    let manner = Manner { retries: 1, budget: 0.2, ..Manner::PLAIN };
    Box::new(Peer::new(world.classes.clone(), manner, seed, Better(By::Latency)))
}

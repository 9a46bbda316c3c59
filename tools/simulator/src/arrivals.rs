//! When clients ask: streams of requests, each of a shape of its own.

use crate::time::Time;
use crate::world::World;
use rand::Rng;
use std::f64::consts::TAU;
use std::time::Duration;

/// A stream of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Requests a second on average.
    pub rate: f64,
    /// Whose they are; `None`: any tenant's, by weight.
    pub tenant: Option<u32>,
    /// How they come.
    pub shape: Shape,
}

/// How requests come.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// One by one, without memory.
    Poisson,
    /// All at the same distance.
    Even,
    /// A Poisson process whose rate swings as a day does.
    Diurnal {
        /// How long the day is.
        period: Duration,
        /// How much the rate swings, from 0 to 1.
        swing: f64,
    },
    /// A Poisson process that only runs for a while.
    Between {
        /// From here ...
        from: Duration,
        /// ... to here.
        to: Duration,
    },
    /// A Markov-modulated Poisson process: it holds one of the rates for an exponential time, then takes any other, all
    /// equally likely. `Stream::rate` counts as 1 here.
    Mmpp {
        /// Requests a second in each state.
        rates: Vec<f64>,
        /// Mean time in a state.
        hold: Duration,
    },
}

impl Stream {
    /// Requests a second, over long.
    pub fn mean_rate(&self) -> f64 {
        match &self.shape {
            Shape::Mmpp { rates, .. } => rates.iter().sum::<f64>() / rates.len().max(1) as f64,
            _ => self.rate,
        }
    }
}

/// A stream as it runs.
#[derive(Debug)]
pub(crate) struct Source {
    stream: Stream,
    state: usize,
    until: Duration,
}

impl Source {
    pub(crate) fn new(stream: Stream) -> Self {
        Self { stream, state: 0, until: Duration::ZERO }
    }

    pub(crate) fn tenant(&self) -> Option<u32> {
        self.stream.tenant
    }

    /// When the next request after `now` comes; `None`: never.
    pub(crate) fn next(&mut self, now: Duration, chance: &mut impl Rng) -> Option<Duration> {
        let gap = |rate: f64, chance: &mut _| {
            (rate > 0.0).then(|| Time::Exponential(Duration::from_secs_f64(1.0 / rate)).draw(chance))
        };
        let rate = self.stream.rate;
        match &self.stream.shape {
            Shape::Poisson => Some(now + gap(rate, chance)?),
            Shape::Even => (rate > 0.0).then(|| now + Duration::from_secs_f64(1.0 / rate)),
            Shape::Between { from, to } => {
                let at = now.max(*from) + gap(rate, chance)?;
                (at < *to).then_some(at)
            }
            Shape::Diurnal { period, swing } => {
                // Thinned from the highest rate.
                let swing = swing.clamp(0.0, 1.0);
                let mut at = now;
                for _ in 0..10_000 {
                    at += gap(rate * (1.0 + swing), chance)?;
                    let phase = at.as_secs_f64() / period.as_secs_f64().max(1e-9) * TAU;
                    if chance.random::<f64>() * (1.0 + swing) < 1.0 + swing * phase.sin() {
                        break;
                    }
                }
                Some(at)
            }
            Shape::Mmpp { rates, hold } => {
                let mut at = now;
                for _ in 0..1_000_000 {
                    if at >= self.until {
                        // Any other state, as the paper has it; the first is drawn from all.
                        self.state = if self.until.is_zero() || rates.len() < 2 {
                            chance.random_range(0..rates.len().max(1))
                        } else {
                            (self.state + chance.random_range(1..rates.len())) % rates.len()
                        };
                        self.until = at + Time::Exponential(*hold).draw(chance).max(Duration::from_nanos(1));
                    }
                    let rate = rates.get(self.state).copied().unwrap_or(0.0);
                    match gap(rate, chance).map(|gap| at + gap).filter(|at| *at < self.until) {
                        Some(at) => return Some(at),
                        None => at = self.until,
                    }
                }
                None
            }
        }
    }
}

/// Whose a request is, and of which class. `tenants` is what [`zipf`] gives; `tenant` is its stream's own.
pub(crate) fn who(
    world: &World,
    tenants: &[f64],
    tenant: Option<u32>,
    chance: &mut impl Rng,
) -> (u32, usize) {
    let mark = chance.random::<f64>();
    let any = tenants.partition_point(|upto| *upto <= mark).min(tenants.len() - 1) as u32;
    let mut mark = chance.random::<f64>() * world.shares.iter().sum::<f64>();
    let class = world.shares.iter().position(|share| {
        mark -= share;
        mark < 0.0
    });
    (tenant.map_or(any, |t| t.min(world.tenants - 1)), class.unwrap_or(world.shares.len() - 1))
}

/// Tenants' weights by Zipf's law: the first has the most.
pub(crate) fn zipf(tenants: u32, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=tenants.max(1)).map(|n| f64::from(n).powf(-exponent)).collect();
    let total: f64 = weights.iter().sum();
    let mut upto = 0.0;
    weights
        .into_iter()
        .map(|w| {
            upto += w / total;
            upto
        })
        .collect()
}

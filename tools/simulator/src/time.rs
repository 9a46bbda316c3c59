//! Distributions of times.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use std::time::Duration;

/// A distribution of times.
#[derive(Clone, Debug, PartialEq)]
pub enum Time {
    /// Always the same.
    Fixed(Duration),
    /// Exponential with this mean.
    Exponential(Duration),
    /// Lognormal with this mean, and the standard deviation of its logarithm.
    LogNormal(Duration, f64),
    /// Pareto with this mean, and its shape, over 1.
    Pareto(Duration, f64),
    /// The first, and with this probability the second.
    Bimodal(Duration, Duration, f64),
    /// As it was recorded: upper ends of the buckets, and how many there were up to each.
    Recorded(Vec<(Duration, f64)>),
    /// So much longer, each time.
    Longer(Box<Time>, Duration),
}

impl Time {
    /// From the buckets of a recorded histogram; `None` if it holds nothing.
    pub fn recorded(buckets: impl IntoIterator<Item = (Duration, f64)>) -> Option<Self> {
        let mut total = 0.0;
        let mut upto: Vec<(Duration, f64)> = Vec::new();
        for (end, count) in buckets {
            total += count.max(0.0);
            upto.push((end, total));
        }
        (total > 0.0 && total.is_finite()).then_some(Self::Recorded(upto))
    }

    /// One time. Figures out of range count as the nearest that are in it.
    pub fn draw(&self, chance: &mut impl Rng) -> Duration {
        let seconds = match self {
            Self::Fixed(time) => return *time,
            Self::Longer(time, by) => return time.draw(chance) + *by,
            Self::Bimodal(usual, other, share) => {
                return if chance.random::<f64>() < *share { *other } else { *usual };
            }
            Self::Recorded(upto) => {
                let mark = chance.random::<f64>() * upto.last().map_or(0.0, |(_, total)| *total);
                let found = upto.partition_point(|(_, n)| *n <= mark).min(upto.len() - 1);
                return upto[found].0;
            }
            Self::Exponential(mean) => {
                let mean = mean.as_secs_f64().max(1e-9);
                Exp::new(1.0 / mean).map_or(mean, |d| d.sample(chance))
            }
            Self::LogNormal(mean, sigma) => {
                let mean = mean.as_secs_f64().max(1e-9);
                LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma.abs())
                    .map_or(mean, |d| d.sample(chance))
            }
            Self::Pareto(mean, shape) => {
                let (mean, shape) = (mean.as_secs_f64().max(1e-9), shape.max(1.001));
                Pareto::new(mean * (shape - 1.0) / shape, shape).map_or(mean, |d| d.sample(chance))
            }
        };
        Duration::from_secs_f64(seconds.clamp(0.0, 1e6))
    }

    /// Its mean.
    pub fn mean(&self) -> Duration {
        match self {
            Self::Fixed(mean)
            | Self::Exponential(mean)
            | Self::LogNormal(mean, _)
            | Self::Pareto(mean, _) => *mean,
            Self::Bimodal(usual, other, share) => usual.mul_f64(1.0 - share) + other.mul_f64(*share),
            Self::Longer(time, by) => time.mean() + *by,
            Self::Recorded(upto) => {
                let total = upto.last().map_or(1.0, |(_, total)| *total);
                let starts = std::iter::once(0.0).chain(upto.iter().map(|(_, n)| *n));
                upto.iter().zip(starts).map(|((end, n), from)| end.mul_f64((n - from) / total)).sum()
            }
        }
    }
}

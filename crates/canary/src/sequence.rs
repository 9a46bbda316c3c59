//! A confidence sequence over the mean of differences: bounds that hold at all moments together, so that it may be looked at after
//! each interval without raising the rate of false alarms.
//!
//! The asymptotic one by a normal mixture (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: "Time-uniform central limit theory and
//! asymptotic confidence sequences", 2021, theorem 2.2), its variance inflated by what neighbouring intervals have in common: trouble
//! lasts longer than one.

/// Intervals before anything is said: the bounds are asymptotic.
pub const LEAST: u64 = 12;
/// The number of intervals at which the bounds are tightest.
const TIGHTEST: f64 = 60.0;
/// The largest part that neighbours are taken to have in common.
const COMMON_MOST: f64 = 0.8;

/// Differences, one an interval.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    n: u64,
    mean: f64,
    squares: f64,
    /// Products of neighbours, around the mean as it was then.
    neighbours: f64,
    last: f64,
    /// The sum of the variances that counting alone brings.
    counting: f64,
}

impl Sequence {
    /// Another difference, and the variance that it has by counting so few requests.
    pub fn push(&mut self, difference: f64, counting: f64) {
        if !difference.is_finite() || !counting.is_finite() {
            return;
        }
        self.n += 1;
        let before = difference - self.mean;
        self.mean += before / self.n as f64;
        self.squares += before * (difference - self.mean);
        if self.n > 1 {
            self.neighbours += (difference - self.mean) * (self.last - self.mean);
        }
        self.last = difference;
        self.counting += counting;
    }

    /// How many.
    pub fn len(&self) -> u64 {
        self.n
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.n == 0
    }

    /// Their mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Bounds between which the true mean lies at all moments together, but for a share of `alpha` of all sequences; `None` as long
    /// as there are too few.
    pub fn bounds(&self, alpha: f64) -> Option<(f64, f64)> {
        if self.n < LEAST {
            return None;
        }
        let n = self.n as f64;
        let seen = self.squares / (n - 1.0);
        let common = if self.squares > 0.0 { self.neighbours / self.squares } else { 0.0 };
        // Of few intervals it can't be seen well how much that is: rather too much.
        let common = (common + 2.0 / n.sqrt()).clamp(0.0, COMMON_MOST);
        // That nothing was seen to vary does not mean that it does not.
        let variance = (seen * (1.0 + common) / (1.0 - common)).max(self.counting / n);
        let log = -2.0 * alpha.ln();
        let rho = (log + (log + 1.0).ln()) / TIGHTEST;
        let spread = n * rho + 1.0;
        let width = (variance * 2.0 * spread / (n * n * rho) * (spread.sqrt() / alpha).ln()).sqrt();
        Some((self.mean - width, self.mean + width))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    fn normal(rng: &mut ChaCha8Rng) -> f64 {
        let (a, b): (f64, f64) = (rng.random::<f64>().max(1e-12), rng.random());
        (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }

    /// Looked at after every interval: of 2,000 sequences without a difference, no more than stated ever exclude 0.
    #[test]
    fn false_alarms_stay_under_the_stated_rate() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for common in [0.0, 0.5] {
            let alpha = 0.05;
            let alarms = (0..2000)
                .filter(|_| {
                    let (mut sequence, mut last) = (Sequence::default(), 0.0);
                    (0..300).any(|_| {
                        last = common * last + normal(&mut rng);
                        sequence.push(last, 0.0);
                        sequence.bounds(alpha).is_some_and(|(low, high)| low > 0.0 || high < 0.0)
                    })
                })
                .count();
            assert!(alarms <= 130, "{alarms} of 2000 with {common} in common");
        }
    }

    #[test]
    fn what_is_there_is_found_and_bounded() {
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let mut sequence = Sequence::default();
        assert!(sequence.is_empty() && sequence.bounds(0.05).is_none());
        for _ in 0..200 {
            sequence.push(1.0 + 0.5 * normal(&mut rng), 0.0);
        }
        let (low, high) = sequence.bounds(0.001).unwrap();
        assert!(low > 0.7 && high < 1.3 && low < 1.0 && high > 1.0, "{low} to {high}");
        // What is no number is none.
        let before = sequence.len();
        sequence.push(f64::NAN, 0.0);
        assert_eq!(sequence.len(), before);
    }

    /// Nothing was seen to fail at few requests: that does not bound the share at 0.
    #[test]
    fn no_variance_is_no_certainty() {
        let mut sequence = Sequence::default();
        (0..30).for_each(|_| sequence.push(0.0, 0.01));
        let (low, high) = sequence.bounds(0.01).unwrap();
        assert!(low < -0.02 && high > 0.02, "{low} to {high}");
    }
}

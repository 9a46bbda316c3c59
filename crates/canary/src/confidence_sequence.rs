//! A confidence sequence over the mean of differences: bounds that hold at all moments together, so that they may be looked at after
//! each interval without raising the rate of false alarms.
//!
//! The asymptotic one by a normal mixture (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: "Time-uniform central limit theory and
//! asymptotic confidence sequences", 2021, theorem 2.2), its variance inflated by the correlation of neighbouring intervals: a fault
//! lasts longer than one.

/// Intervals before any bound is given: the bounds are asymptotic.
pub const MIN_INTERVALS: u64 = 12;
/// The number of intervals at which the bounds are tightest.
const TIGHTEST_AT_INTERVALS: f64 = 60.0;
/// The largest correlation of neighbours that is assumed.
const MAX_CORRELATION: f64 = 0.8;

/// A sequence of differences, one an interval.
#[derive(Clone, Debug, Default)]
pub struct ConfidenceSequence {
    count: u64,
    mean: f64,
    /// Sum of the squared deviations from the mean.
    squares: f64,
    /// Sum of the products of neighbouring deviations, from the mean as it was then.
    neighbour_products: f64,
    last: f64,
    /// Sum of the variances that sampling alone brings.
    sampling_variances: f64,
}

impl ConfidenceSequence {
    /// Appends a difference, with the variance that it has by sampling so few requests. What is not finite is passed over.
    pub fn push(&mut self, difference: f64, sampling_variance: f64) {
        if !difference.is_finite() || !sampling_variance.is_finite() {
            return;
        }
        self.count += 1;
        let deviation_before = difference - self.mean;
        self.mean += deviation_before / self.count as f64;
        self.squares += deviation_before * (difference - self.mean);
        if self.count > 1 {
            self.neighbour_products += (difference - self.mean) * (self.last - self.mean);
        }
        self.last = difference;
        self.sampling_variances += sampling_variance;
    }

    /// Number of differences.
    pub fn len(&self) -> u64 {
        self.count
    }

    /// Whether there are no differences.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Mean of the differences; 0 if there are none.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Bounds between which the true mean lies at all moments together, but for a share of `alpha` of all sequences; `None` below
    /// [`MIN_INTERVALS`].
    pub fn bounds(&self, alpha: f64) -> Option<(f64, f64)> {
        if self.count < MIN_INTERVALS {
            return None;
        }
        let n = self.count as f64;
        let observed = self.squares / (n - 1.0);
        let correlation = if self.squares > 0.0 { self.neighbour_products / self.squares } else { 0.0 };
        // Few intervals say little about the correlation: it is rather overestimated.
        let correlation = (correlation + 2.0 / n.sqrt()).clamp(0.0, MAX_CORRELATION);
        // That nothing was seen to vary does not mean that it does not.
        let variance =
            (observed * (1.0 + correlation) / (1.0 - correlation)).max(self.sampling_variances / n);
        let log = -2.0 * alpha.ln();
        let rho = (log + (log + 1.0).ln()) / TIGHTEST_AT_INTERVALS;
        let spread = n * rho + 1.0;
        let width = (variance * 2.0 * spread / (n * n * rho) * (spread.sqrt() / alpha).ln()).sqrt();
        Some((self.mean - width, self.mean + width))
    }
}

#[cfg(test)]
mod tests;

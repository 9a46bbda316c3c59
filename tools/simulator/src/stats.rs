//! Means, and how sure they are.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean of replicates, and half the width of its interval by Student's t.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// The interval is the mean, more and less by this; `None` of a single value: nothing is known of it.
    pub half: Option<f64>,
}

impl Mean {
    /// Of some values, at a confidence such as 0.95; `None` of none.
    pub fn of(values: &[f64], confidence: f64) -> Option<Self> {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n;
        if !mean.is_finite() {
            return None;
        }
        if values.len() < 2 {
            return Some(Self { mean, half: None });
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t = StudentsT::new(0.0, 1.0, n - 1.0).ok()?.inverse_cdf(0.5 + confidence / 2.0);
        Some(Self { mean, half: Some(t * (variance / n).sqrt()) })
    }

    /// The least that it may be.
    pub fn least(&self) -> f64 {
        self.mean - self.half.unwrap_or(0.0)
    }

    /// The most that it may be.
    pub fn most(&self) -> f64 {
        self.mean + self.half.unwrap_or(0.0)
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.half {
            Some(half) => write!(f, "{:.4} +-{half:.4}", self.mean),
            None => write!(f, "{:.4}", self.mean),
        }
    }
}

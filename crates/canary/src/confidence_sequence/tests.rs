//! Tests of the confidence sequence: its rate of false alarms, and what it finds.

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
                let (mut sequence, mut last) = (ConfidenceSequence::default(), 0.0);
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
    let mut sequence = ConfidenceSequence::default();
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
    let mut sequence = ConfidenceSequence::default();
    (0..30).for_each(|_| sequence.push(0.0, 0.01));
    let (low, high) = sequence.bounds(0.01).unwrap();
    assert!(low < -0.02 && high > 0.02, "{low} to {high}");
}

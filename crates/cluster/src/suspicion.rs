//! How long a suspected member has to refute the suspicion: Lifeguard's dynamic timeouts (Dadgar, Phillips, Currey:
//! "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018, section IV.B).
//!
//! The timeout is long while one member alone suspects, and falls with each other one that does so independently: a
//! member that has lost its own connectivity finds no other member to agree.

use crate::name::Name;
use std::time::Duration;

/// How many independent suspicions bring the timeout to its minimum.
const CONFIRMATIONS: usize = 3;
/// The minimum timeout for up to ten members, in probe periods.
const MIN_TIMEOUT_PERIODS: f64 = 4.0;
/// The maximum timeout, in multiples of the minimum.
const MAX_TIMEOUT_FACTOR: f64 = 3.0;

/// Returns the minimum and the maximum timeout in a cluster of so many members.
fn timeout_bounds(members: usize, period: Duration) -> (Duration, Duration) {
    let min = period.mul_f64(MIN_TIMEOUT_PERIODS * (members as f64).log10().max(1.0));
    // With two members nobody else could agree.
    let max = if members <= 2 { min } else { min.mul_f64(MAX_TIMEOUT_FACTOR) };
    (min, max)
}

/// A suspicion against a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When the suspicion began here.
    pub since: Duration,
    /// The suspected incarnation.
    pub incarnation: u16,
    /// The members that have reported the suspicion independently.
    reporters: Vec<Name>,
}

impl Suspicion {
    /// Starts a suspicion.
    pub fn new(since: Duration, incarnation: u16, reporter: Name) -> Self {
        Self { since, incarnation, reporters: vec![reporter] }
    }

    /// Records that another member suspects it too.
    pub fn confirm(&mut self, reporter: &Name) {
        if self.reporters.len() <= CONFIRMATIONS && !self.reporters.contains(reporter) {
            self.reporters.push(reporter.clone());
        }
    }

    /// Returns when the member is declared dead unless it refutes the suspicion.
    pub fn deadline(&self, members: usize, period: Duration) -> Duration {
        let (min, max) = timeout_bounds(members, period);
        let needed = CONFIRMATIONS.min(members.saturating_sub(2)).max(1);
        let confirmed = (self.reporters.len() - 1).min(needed);
        let share = ((confirmed + 1) as f64).ln() / ((needed + 1) as f64).ln();
        self.since + max - (max - min).mul_f64(share)
    }
}

#[cfg(test)]
mod tests;

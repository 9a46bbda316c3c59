//! How long a suspected member has to deny it: Lifeguard's dynamic timeouts (Dadgar, Phillips, Currey: "Lifeguard:
//! Local Health Awareness for More Accurate Failure Detection", DSN-W 2018, section IV.B).
//!
//! The time is long while one member alone suspects, and falls with each other one that does so by itself: one that was
//! deaf itself finds nobody to agree.

use crate::name::Name;
use std::time::Duration;

/// How many independent suspicions bring the time to its least.
const CONFIRMATIONS: usize = 3;
/// The least time, in probe periods, at ten members.
const LEAST: f64 = 4.0;
/// The longest, in multiples of the least.
const LONGEST: f64 = 3.0;

/// The least and the longest time to deny, for so many members.
pub fn bounds(members: usize, period: Duration) -> (Duration, Duration) {
    let least = period.mul_f64(LEAST * (members as f64).log10().max(1.0));
    // With two members nobody else could agree.
    let longest = if members <= 2 { least } else { least.mul_f64(LONGEST) };
    (least, longest)
}

/// A member that is suspected.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When that began here.
    pub since: Duration,
    /// The incarnation that is suspected.
    pub incarnation: u16,
    /// Who says so.
    by: Vec<Name>,
}

impl Suspicion {
    /// A suspicion that begins now.
    pub fn new(since: Duration, incarnation: u16, by: Name) -> Self {
        Self { since, incarnation, by: vec![by] }
    }

    /// Another member says so too.
    pub fn confirm(&mut self, by: &Name) {
        if self.by.len() <= CONFIRMATIONS && !self.by.contains(by) {
            self.by.push(by.clone());
        }
    }

    /// When its time is up.
    pub fn until(&self, members: usize, period: Duration) -> Duration {
        let (least, longest) = bounds(members, period);
        let most = CONFIRMATIONS.min(members.saturating_sub(2)).max(1);
        let confirmed = (self.by.len() - 1).min(most);
        let share = ((confirmed + 1) as f64).ln() / ((most + 1) as f64).ln();
        self.since + longest - (longest - least).mul_f64(share)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_falls_with_each_that_agrees_and_never_below_the_least() {
        let period = Duration::from_millis(500);
        let name = |n: usize| Name::new(&format!("b{n}")).unwrap();
        for members in [2, 3, 8, 120, 1000] {
            let (least, longest) = bounds(members, period);
            let mut suspicion = Suspicion::new(Duration::ZERO, 0, name(0));
            assert_eq!(suspicion.until(members, period), longest);
            let mut before = longest;
            for n in 0..10 {
                suspicion.confirm(&name(n % 6));
                let now = suspicion.until(members, period);
                assert!(now <= before && now >= least, "{members} members, {n}: {now:?}");
                before = now;
            }
            assert!(before < least + Duration::from_millis(1), "{members}: {before:?}");
        }
    }

    #[test]
    fn one_voice_counts_once() {
        let (one, period) = (Name::new("a").unwrap(), Duration::from_millis(500));
        let mut suspicion = Suspicion::new(Duration::ZERO, 0, one.clone());
        let alone = suspicion.until(8, period);
        (0..5).for_each(|_| suspicion.confirm(&one));
        assert_eq!(suspicion.until(8, period), alone);
    }
}

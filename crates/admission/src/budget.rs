//! The descriptors of a process: how many each part of it may hold. One [`Budget`] owns them all.
//!
//! What the parts may hold together never passes the limit, so that none of them is starved by another: a
//! flood of clients can't take the connections to upstreams, nor the other way round. The limit may change
//! while the process runs, and other code may hold descriptors that the budget does not know of; a failure
//! for want of one (`EMFILE`, `ENFILE`) is told to [`Budget::exhausted`] and makes all parts smaller for a while.

use std::time::Duration;

/// Descriptors for standard streams, the poller, the listener, signals, files and the one kept spare.
pub const BASE: usize = 14;
/// Those for calls to discovery: a watch, a fetch, and both again at a new address.
pub const DISCOVERY: usize = 4;
/// Those on which a refused client may still read its answer.
pub const REFUSALS: usize = 6;
/// The fewest with which a process can serve: a handful of clients and upstreams.
pub const LEAST: usize = 2 * (BASE + DISCOVERY + REFUSALS);
/// How long a part stays smaller after a failure for want of a descriptor.
const SQUEEZED: Duration = Duration::from_secs(5);
/// The most that may be taken away for such failures: half of what there is to share out.
const SQUEEZE_MOST: f64 = 0.5;

/// The parts that hold descriptors in number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Clients' connections.
    Clients,
    /// Connections to upstreams.
    Upstreams,
}

/// Shares out descriptors.
#[derive(Clone, Debug)]
pub struct Budget {
    /// What the platform or the operator allows.
    allowed: usize,
    /// What the process may really open.
    real: usize,
    /// Of both, what a part of the process has for itself.
    aside: usize,
    upstream_share: f64,
    squeeze: usize,
    squeezed_at: Duration,
}

/// Fewer descriptors than a process can serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooFew(pub usize);

impl std::fmt::Display for TooFew {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} descriptors are too few; {LEAST} are the least", self.0)
    }
}

impl std::error::Error for TooFew {}

impl Budget {
    /// `allowed` by configuration, `real` by the limit of the process, `aside` of them not to be shared out; of what
    /// can be shared out, connections to upstreams get this share (0.01 to 0.99).
    pub fn new(allowed: usize, real: usize, aside: usize, upstream_share: f64) -> Result<Self, TooFew> {
        let least = allowed.min(real);
        if least < LEAST + aside {
            return Err(TooFew(least));
        }
        let upstream_share = upstream_share.clamp(0.01, 0.99);
        Ok(Self { allowed, real, aside, upstream_share, squeeze: 0, squeezed_at: Duration::ZERO })
    }

    /// So many are allowed from now on, if one can serve with them.
    pub fn allow(&mut self, allowed: usize) -> bool {
        std::mem::replace(&mut self.allowed, allowed.max(LEAST + self.aside)) != self.allowed
    }

    /// The limit of the process is now this. One too low to serve with is taken for the lowest that will do:
    /// what is open stays open under it.
    pub fn limit(&mut self, real: usize) -> bool {
        std::mem::replace(&mut self.real, real.max(LEAST + self.aside)) != self.real
    }

    /// Nothing could be opened at `now`, though a part was within its share: somebody else holds descriptors.
    pub fn exhausted(&mut self, now: Duration) {
        self.squeeze = (self.squeeze + 1).min(self.squeeze_most());
        self.squeezed_at = now;
    }

    /// Gives back, step by step, what was taken away for failures; `true` if anything changed.
    pub fn relax(&mut self, now: Duration) -> bool {
        let ease = self.squeeze > 0 && now >= self.squeezed_at + SQUEEZED;
        if ease {
            self.squeeze /= 2;
        }
        ease
    }

    fn squeeze_most(&self) -> usize {
        (self.shared_out() as f64 * SQUEEZE_MOST) as usize
    }

    fn shared_out(&self) -> usize {
        self.allowed.min(self.real) - self.aside - BASE - DISCOVERY - REFUSALS
    }

    /// How many descriptors a part may hold now.
    pub fn of(&self, part: Part) -> usize {
        // The limit may have fallen since.
        let all = self.shared_out() - self.squeeze.min(self.squeeze_most());
        let upstreams = ((all as f64 * self.upstream_share) as usize).max(1);
        match part {
            Part::Upstreams => upstreams,
            Part::Clients => all - upstreams,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards the limit: whatever happens, the parts together stay under it and none is left with nothing.
        #[test]
        fn parts_never_pass_the_limit(
            allowed in LEAST + 20..170_usize, real in LEAST + 20..170_usize, aside in 0..20_usize, share in 0.0_f64..1.0,
            steps in prop::collection::vec((0_u8..4, 0_usize..150), 0..200),
        ) {
            let mut budget = Budget::new(allowed, real, aside, share).unwrap();
            let (mut real, mut allowed, mut now) = (real, allowed, Duration::ZERO);
            for (kind, n) in steps {
                now += Duration::from_millis(n as u64);
                let n = if n > 100 { 5000 } else { n };
                match kind {
                    0 => { budget.limit(n); real = n.max(LEAST + aside) }
                    1 => budget.exhausted(now),
                    2 => { budget.allow(n); allowed = n.max(LEAST + aside) }
                    _ => { budget.relax(now); }
                }
                let parts = [Part::Clients, Part::Upstreams].map(|p| budget.of(p));
                prop_assert!(parts.iter().all(|n| *n > 0));
                prop_assert!(parts.iter().sum::<usize>() + BASE + DISCOVERY + REFUSALS + aside <= allowed.min(real));
            }
            // What was taken away comes back.
            budget.limit(real);
            for _ in 0..20 {
                now += SQUEEZED;
                budget.relax(now);
            }
            prop_assert_eq!(budget.squeeze, 0);
        }
    }

    #[test]
    fn too_few_are_refused() {
        assert_eq!(Budget::new(LEAST, LEAST - 1, 0, 0.5).unwrap_err(), TooFew(LEAST - 1));
        assert!(TooFew(3).to_string().contains("3 descriptors"));
        assert_eq!(Budget::new(LEAST, LEAST, 3, 0.5).unwrap_err(), TooFew(LEAST));
        let mut budget = Budget::new(1024, 1 << 20, 0, 0.45).unwrap();
        assert_eq!((budget.of(Part::Upstreams), budget.of(Part::Clients)), (450, 550));
        assert!(budget.limit(200));
        assert!(!budget.limit(200));
        assert_eq!((budget.of(Part::Upstreams), budget.of(Part::Clients)), (79, 97));
    }
}

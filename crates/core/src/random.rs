//! The balancer's random numbers, which depend on its seed alone.

use std::ops::{Deref, DerefMut};

/// A random number generator that always has a seed of its own.
pub(crate) struct SeededRandom(fastrand::Rng);

impl SeededRandom {
    pub(crate) fn with_seed(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }
}

impl Default for SeededRandom {
    fn default() -> Self {
        Self::with_seed(0)
    }
}

impl Deref for SeededRandom {
    type Target = fastrand::Rng;
    fn deref(&self) -> &fastrand::Rng {
        &self.0
    }
}

impl DerefMut for SeededRandom {
    fn deref_mut(&mut self) -> &mut fastrand::Rng {
        &mut self.0
    }
}

//! Random numbers of the balancer, which depend on its seed alone.

use std::ops::{Deref, DerefMut};

/// Random number generator that is always seeded explicitly.
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

//! Running statistics and seeded chance; no decisions.

use std::ops::{Deref, DerefMut};

/// Random numbers from a seed alone.
pub(crate) struct Chance(fastrand::Rng);

impl Chance {
    pub(crate) fn with_seed(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }
}

impl Default for Chance {
    fn default() -> Self {
        Self::with_seed(0)
    }
}

impl Deref for Chance {
    type Target = fastrand::Rng;
    fn deref(&self) -> &fastrand::Rng {
        &self.0
    }
}

impl DerefMut for Chance {
    fn deref_mut(&mut self) -> &mut fastrand::Rng {
        &mut self.0
    }
}

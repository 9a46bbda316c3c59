//! What tests over drawn cases have in common.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// So many cases, the same at each run.
pub fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

//! Configuration shared by the property tests.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed, so that each run tests the same cases.
pub fn fixed_seed_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

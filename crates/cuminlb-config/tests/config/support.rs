//! Helpers shared by the tests.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// The seed of the property tests of this package.
const SEED: u64 = 20_261_204;

/// A fleet file with all kinds of entries.
pub const FLEET: &str = include_str!("../../../../fleets/authority.toml");

/// A settings file with all sections and keys.
pub const SETTINGS: &str = include_str!("../../../../settings/node.toml");

pub fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

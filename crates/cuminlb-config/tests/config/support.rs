//! What the tests share.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// The seed of every property test of this package.
const SEED: u64 = 20_261_204;

/// A fleet file with all that one may hold.
pub const FLEET: &str = include_str!("../../../../fleets/authority.toml");

/// A settings file with all that one may hold.
pub const SETTINGS: &str = include_str!("../../../../settings/node.toml");

pub fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

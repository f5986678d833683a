//! Versions of the platform's store are ordered by era first, and read as they are written.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The seed and the least number of random cases.
const SEED: u64 = 20_261_204;
const CASES: u32 = 256;

fn at(era: u64, row: u64) -> StoreVersion {
    StoreVersion::new(StoreEra(era), RowVersion(row))
}

#[test]
fn a_later_era_is_newer_whatever_its_row_version() {
    assert!(at(2, 0) > at(1, u64::MAX));
    assert!(at(1, 8) > at(1, 7));
    assert!(StoreVersion::default() < at(0, 1));
    assert!(StoreVersion::default() < at(1, 0));
}

#[test]
fn a_version_is_written_as_era_and_row_version() {
    assert_eq!(at(3, 41).to_string(), "3.41");
    assert_eq!("3.41".parse::<StoreVersion>().unwrap(), at(3, 41));
}

#[test]
fn other_texts_are_no_versions() {
    for text in [
        "", "41", ".", "3.", ".41", "3.41.5", "a.41", "3.b", "-1.4", "3,41",
    ] {
        let error = text.parse::<StoreVersion>().unwrap_err();
        assert!(error.to_string().contains("ERA.VERSION"), "{text}: {error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: CASES.max(ProptestConfig::default().cases),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_version_is_read_as_it_is_written(era in any::<u64>(), row in any::<u64>()) {
        let version = at(era, row);
        prop_assert_eq!(version.to_string().parse::<StoreVersion>().unwrap(), version);
        let json = serde_json::to_string(&version).unwrap();
        prop_assert_eq!(serde_json::from_str::<StoreVersion>(&json).unwrap(), version);
    }

    #[test]
    fn versions_are_ordered_by_the_era_and_then_the_row(
        left in (0..4_u64, 0..4_u64),
        right in (0..4_u64, 0..4_u64),
    ) {
        let order = at(left.0, left.1).cmp(&at(right.0, right.1));
        prop_assert_eq!(order, left.cmp(&right));
    }
}

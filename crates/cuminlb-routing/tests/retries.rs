//! Properties of retries: the budget bounds them, and unsafe ones are never made.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use cuminlb_routing::{FailedAttempt, MAX_ATTEMPTS, RetryBudget};
use cuminlb_types::Ratio;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// If every request fails, retries add no more than the ratio and the initial balance.
    #[test]
    fn retries_of_failing_fleet_are_bounded(requests in 1_u32..2_000, percent in 0_u32..100) {
        let ratio = f64::from(percent) / 100.0;
        let budget = RetryBudget::new(Ratio(ratio));
        let mut sends = 0;
        for _ in 0..requests {
            budget.deposit();
            let mut attempts = 1;
            let failed =
                |attempts| FailedAttempt { attempts, may_have_run: true, is_idempotent: true };
            while failed(attempts).withdraw_retry(&budget) {
                attempts += 1;
            }
            prop_assert!(attempts <= MAX_ATTEMPTS);
            sends += attempts;
        }
        let bound = f64::from(requests) * (1.0 + ratio) + 11.0;
        prop_assert!(f64::from(sends) <= bound, "{sends} sends for {requests} requests");
    }

    /// A request that is not idempotent and may have run is never retried.
    #[test]
    fn non_idempotent_request_that_may_have_run_is_not_retried(attempts in 0_u32..10) {
        let budget = RetryBudget::new(Ratio(1.0));
        let failed = FailedAttempt { attempts, may_have_run: true, is_idempotent: false };
        prop_assert!(!failed.withdraw_retry(&budget));
    }
}

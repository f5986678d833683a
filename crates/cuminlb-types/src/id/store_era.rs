//! The era of the platform's store, which begins when the store is restored from a copy.

use crate::macros::{integer, number};

integer! {
    /// The era of the platform's store. It rises each time that the store is restored from a copy,
    /// which may lack the latest writes, so that row versions are given out again.
    StoreEra(u64), "store era", ""
}

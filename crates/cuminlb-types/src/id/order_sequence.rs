//! The order counter in the entries and reports of instances.

use crate::macros::{integer, number};

integer! {
    /// The number of orders that an instance has begun since it started.
    OrderSequence(u64), "order sequence", ""
}

//! The order counter in the entries and reports of instances.

use crate::macros::{integer, number};

integer! {
    /// The number of orders that an instance has started to execute in its current incarnation.
    OrderSequence(u64), "order sequence", ""
}

//! The size type of concurrency and queue limits.

use crate::macros::{integer, number};

integer! {
    /// A number of requests that an upstream may run concurrently.
    SlotCount(u32), "slot count", ""
}

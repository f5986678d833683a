//! [`SlotCount`].

use crate::macros::{integer, number};

integer! {
    /// A number of requests that an upstream may run at once.
    SlotCount(u32), "slot count", ""
}

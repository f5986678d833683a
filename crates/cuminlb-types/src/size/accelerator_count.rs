//! [`AcceleratorCount`].

use crate::macros::{integer, number};

integer! {
    /// A number of accelerators.
    AcceleratorCount(u32), "accelerator count", ""
}

//! The accelerator count of an instance.

use crate::macros::{integer, number};

integer! {
    /// A number of accelerators.
    AcceleratorCount(u32), "accelerator count", ""
}

//! The size type of length limits.

use crate::macros::{integer, number};

integer! {
    /// A size in bytes.
    ByteCount(u64), "byte count", "B"
}

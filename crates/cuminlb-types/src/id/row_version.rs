//! The version of a row, for conditional writes.

use crate::macros::{integer, number};

integer! {
    /// The version of a row of the table; every write increases it.
    RowVersion(u64), "row version", ""
}

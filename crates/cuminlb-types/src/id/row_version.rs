//! [`RowVersion`].

use crate::macros::{integer, number};

integer! {
    /// The version of one row of the table; every write raises it.
    RowVersion(u64), "row version", ""
}

//! The number that lets receivers refuse orders of a former lease holder.

use crate::macros::{integer, number};

integer! {
    /// The fencing number of a lease; every new holder increases it.
    FencingNumber(u64), "fencing number", ""
}

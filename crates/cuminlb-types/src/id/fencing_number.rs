//! [`FencingNumber`].

use crate::macros::{integer, number};

integer! {
    /// The fencing number of a lease; every new holder raises it.
    FencingNumber(u64), "fencing number", ""
}

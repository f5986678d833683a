//! The number of one connection among those that a pool has opened.

use crate::macros::{integer, number};

integer! {
    /// The position of a connection among those that its pool has opened, from 0.
    ConnectionNumber(u64), "connection number", ""
}

//! The epoch by which engines refuse requests for an earlier composition of their group.

use crate::macros::{integer, number};

integer! {
    /// The epoch of a replica group; every change of its members increases it.
    Epoch(u64), "epoch", ""
}

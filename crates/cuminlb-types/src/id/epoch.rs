//! [`Epoch`].

use crate::macros::{integer, number};

integer! {
    /// The epoch of a replica group; every change of its members raises it.
    Epoch(u64), "epoch", ""
}

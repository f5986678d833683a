//! The incarnation of a process, by which its restarts are detected.

use crate::macros::{integer, number};

integer! {
    /// Distinguishes one start of a process from the next.
    Incarnation(u64), "incarnation", ""
}

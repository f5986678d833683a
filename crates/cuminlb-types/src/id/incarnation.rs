//! [`Incarnation`].

use crate::macros::{integer, number};

integer! {
    /// Tells one start of a process from the next.
    Incarnation(u64), "incarnation", ""
}

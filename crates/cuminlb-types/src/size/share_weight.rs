//! The weight of a team in the sharing of capacity.

use crate::macros::{integer, number};

integer! {
    /// The weight of a team's share of the capacity, relative to the other teams.
    ShareWeight(u32), "share weight", ""
}

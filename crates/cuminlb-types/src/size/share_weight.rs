//! [`ShareWeight`].

use crate::macros::{integer, number};

integer! {
    /// The weight of one team's share against the others'.
    ShareWeight(u32), "share weight", ""
}

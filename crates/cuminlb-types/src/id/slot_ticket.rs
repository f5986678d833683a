//! [`SlotTicket`].

use crate::macros::{integer, number};

integer! {
    /// The number of one ask for a slot; a node counts up over all its asks.
    SlotTicket(u64), "slot ticket", ""
}

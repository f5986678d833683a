//! The number by which messages about slots refer to a slot request.

use crate::macros::{integer, number};

integer! {
    /// The number of a slot request; each node numbers its slot requests in ascending order.
    SlotTicket(u64), "slot ticket", ""
}

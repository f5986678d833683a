//! The rank of a request in the queue of an instance.

use crate::macros::{integer, number};

integer! {
    /// The rank of a request among those that wait at an instance; 0 is the most urgent.
    Urgency(u8), "urgency", ""
}

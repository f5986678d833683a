//! [`Urgency`].

use crate::macros::{integer, number};

integer! {
    /// The place of a request among those that wait at an instance; 0 is the most urgent.
    Urgency(u8), "urgency", ""
}

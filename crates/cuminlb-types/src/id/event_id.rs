//! [`EventId`].

use crate::macros::{integer, number};

integer! {
    /// The number of an event in its stream; it rises from event to event.
    EventId(u64), "event id", ""
}

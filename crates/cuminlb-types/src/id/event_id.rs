//! The number of an event in a stream, after which a stream can resume.

use crate::macros::{integer, number};

integer! {
    /// The number of an event in its stream; it increases from event to event.
    EventId(u64), "event id", ""
}

//! The id that a request keeps from the caller to the upstream and in all events.

use crate::macros::text_id;

text_id! {
    /// Identifies a request of a caller in messages between nodes and in events.
    RequestId, "request"
}

//! [`RequestId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one request of a caller, over all nodes and events.
    RequestId, "request"
}

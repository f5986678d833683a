//! The id of a replica group, which the group keeps over all of its epochs.

use crate::macros::text_id;

text_id! {
    /// Identifies a replica group of a service.
    GroupId, "group"
}

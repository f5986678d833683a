//! [`GroupId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one replica group of a service.
    GroupId, "group"
}

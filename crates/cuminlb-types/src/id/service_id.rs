//! [`ServiceId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one served model or one plain service.
    ServiceId, "service"
}

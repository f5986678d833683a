//! [`ZoneId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one availability zone.
    ZoneId, "availability zone"
}

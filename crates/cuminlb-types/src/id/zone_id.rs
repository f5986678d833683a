//! The id of an availability zone, used for placement and for the choice of groups.

use crate::macros::text_id;

text_id! {
    /// Identifies an availability zone.
    ZoneId, "availability zone"
}

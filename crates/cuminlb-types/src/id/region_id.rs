//! [`RegionId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one region.
    RegionId, "region"
}

//! The id of a region, to which availability zones and nodes belong.

use crate::macros::text_id;

text_id! {
    /// Identifies a region.
    RegionId, "region"
}

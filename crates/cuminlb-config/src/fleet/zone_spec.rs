//! A `[[zone]]` of the fleet file.

use cuminlb_types::prelude::*;

use super::ZoneState;
use crate::check::TableReader;

/// An availability zone and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSpec {
    /// The id of the zone.
    pub id: ZoneId,
    /// The region of the zone.
    pub region: RegionId,
    /// Whether the zone accepts new work.
    pub state: ZoneState,
}

impl ZoneSpec {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let id = reader.required("id", "name the availability zone");
        let region = reader.required("region", "name the region of the zone");
        let state = reader.optional("state").unwrap_or_default();
        Some(Self {
            id: id?,
            region: region?,
            state,
        })
    }
}

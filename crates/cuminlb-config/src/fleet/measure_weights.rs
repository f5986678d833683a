//! The table `[measures]` of the fleet file.

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// The relative weights of the measures by which the planner compares placements of groups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureWeights {
    /// The weight of group downtime.
    pub group_downtime: Ratio,
    /// The weight of accelerators that belong to no working group.
    pub stranded_accelerators: Ratio,
    /// The weight of service during the loss and return of an availability zone.
    pub zone_change: Ratio,
}

impl MeasureWeights {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let bounds = Bounds {
            min: Ratio(0.0),
            max: Ratio(100.0),
        };
        Self {
            group_downtime: reader.bounded("group_downtime", Ratio(1.0), bounds),
            stranded_accelerators: reader.bounded("stranded_accelerators", Ratio(1.0), bounds),
            zone_change: reader.bounded("zone_change", Ratio(1.0), bounds),
        }
    }
}

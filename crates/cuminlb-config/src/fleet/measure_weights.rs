//! [`MeasureWeights`].

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// How a deployment weighs the measures of the fleet against each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureWeights {
    /// The weight of group downtime.
    pub group_downtime: Ratio,
    /// The weight of accelerators outside any working group.
    pub stranded_accelerators: Ratio,
    /// The weight of service while an availability zone leaves and returns.
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

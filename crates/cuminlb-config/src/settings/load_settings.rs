//! The section `load` of the settings file of a gateway node.

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// How a node prepares for, and reacts to, more load than its instances can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// How many instances of a fabric domain are kept as spares.
    pub spares: SparePolicy,
    /// The interval between two reports of load to other nodes while slots are short.
    pub report_period_ms: Millis,
    /// Whether requests that can't begin in time are refused, or give way to those that can.
    pub has_admission: bool,
}

impl LoadSettings {
    /// The interval between two reports of load while slots are not short.
    pub const USUAL_REPORT_PERIOD_MS: Millis = Millis(300);

    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let period_bounds = Bounds {
            min: Millis(50),
            max: Self::USUAL_REPORT_PERIOD_MS,
        };
        Self {
            spares: reader.optional("spares").unwrap_or_default(),
            report_period_ms: reader.bounded(
                "report_period",
                Self::USUAL_REPORT_PERIOD_MS,
                period_bounds,
            ),
            has_admission: reader.optional("admission").unwrap_or(false),
        }
    }
}

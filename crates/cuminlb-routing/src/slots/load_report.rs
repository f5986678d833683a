//! The load of an engine, as reported by a probe.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The load that an engine reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the probe was sent to which the report responds.
    pub sent_at: Instant,
    /// The number of running requests when the engine last counted them.
    pub running: SlotCount,
}

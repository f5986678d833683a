//! [`LoadReport`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The load that an engine reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the probe was sent that the report answers.
    pub sent_at: Instant,
    /// The number of requests that ran when the engine last looked.
    pub running: SlotCount,
}

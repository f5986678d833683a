//! [`AdmissionLimits`].

use cuminlb_types::prelude::*;

/// The bounds of a node's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The number of requests of all teams that may wait for one service.
    pub max_waiting: SlotCount,
}

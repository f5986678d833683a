//! Limits of admission control, taken from the settings of the node.

use cuminlb_types::prelude::*;

/// The limits of a node's admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The maximum number of requests, over all teams, that may wait for one service.
    pub max_waiting: SlotCount,
}

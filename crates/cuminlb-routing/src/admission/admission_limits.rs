//! [`AdmissionLimits`].

use cuminlb_types::prelude::*;

/// The bounds of a node's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The number of requests that may be inside at once.
    pub max_inside: SlotCount,
}

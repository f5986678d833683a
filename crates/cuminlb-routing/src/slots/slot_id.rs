//! The identity of a slot.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SlotHolder;

/// Identifies one slot. Every slot request has its own ticket, so that a late message about one
/// request can't affect the slot of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SlotId {
    /// The node that requested the slot.
    pub holder: SlotHolder,
    /// The number of the slot request.
    pub ticket: SlotTicket,
}

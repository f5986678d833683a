//! [`SlotId`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SlotHolder;

/// One slot: every ask has its own ticket, so that a late message about one ask can't touch the
/// slot of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SlotId {
    /// The node that asked.
    pub holder: SlotHolder,
    /// The number of the ask.
    pub ticket: SlotTicket,
}

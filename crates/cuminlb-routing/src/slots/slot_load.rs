//! [`SlotLoad`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How many slots of a group are taken, as its owner counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLoad {
    /// The slots that are taken.
    pub taken: SlotCount,
    /// The slots that the group has at present.
    pub limit: SlotCount,
}

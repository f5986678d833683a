//! The response of an owner to a renewal of slots.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The response to a [`SlotRenewal`](super::SlotRenewal).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RenewalResponse {
    /// The groups that the called node does not own.
    pub not_owned: Vec<GroupId>,
}

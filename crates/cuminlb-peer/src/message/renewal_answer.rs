//! [`RenewalAnswer`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The answer to a [`SlotRenewal`](super::SlotRenewal).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RenewalAnswer {
    /// The groups that the node called does not own.
    pub not_owned: Vec<GroupId>,
}

//! The state of a slot request at the node that sent it.

use serde::{Deserialize, Serialize};

/// The state of a slot request that has not ended, as known to the requesting node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SlotRequestState {
    /// There is no response yet; the owner may or may not have granted a slot.
    #[serde(rename = "Asking")]
    Pending,
    /// The node holds a slot.
    Held,
}

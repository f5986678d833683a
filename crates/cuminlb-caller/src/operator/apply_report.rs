//! The response to a committed apply.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The result of a committed apply: which nodes already use the new configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyReport {
    /// The version that was committed.
    pub version: ConfigVersion,
    /// The nodes that have confirmed that they use it.
    pub in_force: Vec<NodeId>,
    /// The listed nodes that have not confirmed it and have provably stopped accepting new work.
    pub stopped: Vec<NodeId>,
    /// The listed nodes that have not confirmed it yet and may still use the previous version.
    pub not_confirmed: Vec<NodeId>,
}

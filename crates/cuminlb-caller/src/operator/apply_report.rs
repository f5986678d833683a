//! [`ApplyReport`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The result of an apply: it is committed, and in force where it says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyReport {
    /// The version that was committed.
    pub version: ConfigVersion,
    /// The nodes on which it is in force.
    pub in_force: Vec<NodeId>,
    /// The listed nodes that have not confirmed it and have provably stopped taking new work.
    pub stopped: Vec<NodeId>,
    /// The listed nodes that have not confirmed it yet and may act on the one before.
    pub not_confirmed: Vec<NodeId>,
}

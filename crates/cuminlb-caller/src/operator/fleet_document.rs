//! The fleet file as returned to operators.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The current configuration of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetDocument {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The text of the fleet file.
    pub body: String,
}

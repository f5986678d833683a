//! [`FleetDocument`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The configuration in force on a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetDocument {
    /// The version.
    pub version: ConfigVersion,
    /// The text of the fleet file.
    pub body: String,
}

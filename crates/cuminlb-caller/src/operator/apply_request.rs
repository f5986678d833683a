//! The request to apply a fleet file.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Requests that a fleet file replaces the current configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The version that the operator edited; `None` if there was none yet.
    pub base: Option<ConfigVersion>,
    /// The text of the fleet file.
    pub body: String,
}

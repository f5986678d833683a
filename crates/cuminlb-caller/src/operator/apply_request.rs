//! [`ApplyRequest`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks for a fleet file to be put in force as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The version that the operator edited; `None` where there was none yet.
    pub base: Option<ConfigVersion>,
    /// The text of the fleet file.
    pub body: String,
}

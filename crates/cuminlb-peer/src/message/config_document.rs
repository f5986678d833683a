//! A configuration as nodes send it to each other.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A committed configuration, as one node forwards it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The version of its row in the table.
    pub row: RowVersion,
    /// The text of the fleet file.
    pub text: String,
}

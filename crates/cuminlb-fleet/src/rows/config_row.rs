//! [`ConfigRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The configuration in force, as it stands in `config/head`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version; each apply raises it by one.
    pub version: ConfigVersion,
    /// The text of the fleet file.
    pub body: String,
}

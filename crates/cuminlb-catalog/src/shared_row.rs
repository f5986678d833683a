//! [`SharedRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One row of the platform's store as nodes keep it and pass it on to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedRow {
    /// The key.
    pub key: RowKey,
    /// The version of its newest change.
    pub version: RowVersion,
    /// The bytes, or `None` where the row was removed.
    pub value: Option<Vec<u8>>,
}

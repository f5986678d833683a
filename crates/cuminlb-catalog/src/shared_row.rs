//! A row of the platform's store in the form that nodes exchange.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One row of the platform's store, as nodes cache it and relay it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedRow {
    /// The key.
    pub key: RowKey,
    /// The version of its latest change.
    pub version: StoreVersion,
    /// The content, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

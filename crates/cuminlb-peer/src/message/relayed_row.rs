//! A row of the store that nodes relay to each other.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::RelayedValue;

/// A row that a node relays.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedRow {
    /// The key.
    pub key: RowKey,
    /// The version of its latest change.
    pub version: StoreVersion,
    /// The value.
    pub value: RelayedValue,
}

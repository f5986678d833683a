//! The wire format of the response to a transaction.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The table's response to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes have taken effect; every written row has the same new version.
    Committed {
        /// The new version of the written rows.
        version: RowVersion,
    },
    /// A check failed; nothing has been written.
    Conflict {
        /// The first row whose check failed.
        key: RowKey,
        /// The current version of the row, or `None` if it is absent.
        found: Option<RowVersion>,
    },
}

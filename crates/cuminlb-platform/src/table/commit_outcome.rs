//! [`CommitOutcome`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The answer of the table to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes have taken effect; the version is that of every row written.
    Committed {
        /// The version of the rows written.
        version: RowVersion,
    },
    /// A check failed; nothing has been written.
    Conflict {
        /// The first row whose check failed.
        key: RowKey,
        /// The version that the row has, or `None` where it is absent.
        found: Option<RowVersion>,
    },
}

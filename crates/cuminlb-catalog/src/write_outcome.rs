//! [`WriteOutcome`].

use cuminlb_types::prelude::*;

use crate::SharedRow;

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row stands, at this version.
    Written {
        /// The version of the row.
        version: RowVersion,
    },
    /// The row was not at the expected version; nothing was written.
    Conflict {
        /// The row as it stands, or `None` where there is none.
        found: Option<SharedRow>,
    },
}

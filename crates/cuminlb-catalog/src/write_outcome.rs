//! The outcome of a conditional write to the platform's store.

use cuminlb_types::prelude::*;

use crate::SharedRow;

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written.
    Written {
        /// The new version of the row.
        version: StoreVersion,
    },
    /// The row was not at the expected version; nothing was written.
    Conflict {
        /// The current row, or `None` if there is none.
        found: Option<SharedRow>,
    },
}

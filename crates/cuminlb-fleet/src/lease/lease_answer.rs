//! The answer to a conditional write of a lease row.

use cuminlb_types::prelude::*;

use crate::rows::LeaseRow;

/// The answer to a conditional write of a lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The row was written.
    Written {
        /// The new version of the row.
        version: StoreVersion,
    },
    /// The row was not at the expected version; nothing was written.
    Conflict {
        /// The current row; `None` if there is none or it can't be decoded.
        found: Option<LeaseRow>,
        /// The version of the current row; row version zero if there is none.
        version: StoreVersion,
    },
    /// The write has had no effect and will have none.
    Refused,
    /// No answer arrived; the write may have taken effect, or may do so later.
    Unknown,
}

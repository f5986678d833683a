//! The effect of an update on a table.

use cuminlb_catalog::SharedRow;

/// The rows that an update has brought to a table.
#[derive(Clone, Debug)]
pub(crate) struct AppliedRows {
    /// The rows that are new to this node.
    pub(crate) rows: Vec<SharedRow>,
    /// Whether the table had been read before the store was restored, and is now as restored.
    pub(crate) is_restored: bool,
}

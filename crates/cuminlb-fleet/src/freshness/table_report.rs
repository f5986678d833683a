//! The report about the table that nodes exchange.

use cuminlb_types::prelude::*;

/// What a node reports about its contact with the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableReport {
    /// The age of the node's confirmed knowledge; `None` if it has none.
    pub table_age_ms: Option<Millis>,
    /// Whether the node has read the table since its start but has lost contact with it.
    pub is_silent: bool,
    /// The newest configuration that the node knows to be committed.
    pub newest_config: ConfigVersion,
}

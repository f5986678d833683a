//! [`TableStatement`].

use cuminlb_types::prelude::*;

/// What a node states about the table when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableStatement {
    /// The age of the node's confirmed knowledge; `None` where it has none.
    pub table_age_ms: Option<Millis>,
    /// Whether the node has read the table since its start and hears it no longer.
    pub is_silent: bool,
    /// The newest configuration that the node knows to be committed.
    pub newest_config: ConfigVersion,
}

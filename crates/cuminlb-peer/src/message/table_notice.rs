//! [`TableNotice`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Tells a node that the table is heard, before or after a right is taken away.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableNotice {
    /// The node that read the table.
    pub node: NodeId,
    /// How long before the notice it sent the read.
    pub read_age_ms: Millis,
    /// The newest configuration that it knows to be committed.
    pub newest_config: ConfigVersion,
}

//! The notice that the table was read.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Notifies a node that the sender has read the table, before or after a right is revoked.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableNotice {
    /// The sender, which read the table.
    pub node: NodeId,
    /// The time from sending the read to sending this notice.
    pub read_age_ms: Millis,
    /// The newest configuration that the sender knows to be committed.
    pub newest_config: ConfigVersion,
}

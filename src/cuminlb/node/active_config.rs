//! The configuration that is in effect on a node, as applied from the table or from a peer.

use cuminlb_config::FleetSpec;
use cuminlb_types::prelude::*;

/// The configuration that is in effect on a node.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The version of its row in the table.
    pub row: RowVersion,
    /// The fleet file as text.
    pub body: String,
    /// The parsed fleet file.
    pub spec: FleetSpec,
}

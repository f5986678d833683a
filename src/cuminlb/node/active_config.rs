//! [`ActiveConfig`].

use cuminlb_config::FleetSpec;
use cuminlb_types::prelude::*;

/// The configuration that a node acts by.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The version of its row in the table.
    pub row: RowVersion,
    /// The fleet file as text.
    pub body: String,
    /// The fleet file as read.
    pub spec: FleetSpec,
}

//! The interfaces between a node and its platform.

use std::sync::Arc;

use cuminlb_catalog::{InstanceControl, RowStore, WireFormat};

/// The platform services that a node depends on.
#[derive(Clone)]
pub struct Edges {
    /// The store of rows.
    pub store: Arc<dyn RowStore>,
    /// Sends orders to instances and probes them.
    pub instances: Arc<dyn InstanceControl>,
    /// Encodes and decodes the headers and rows of the platform.
    pub wire: Arc<dyn WireFormat>,
}

impl std::fmt::Debug for Edges {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Edges").finish_non_exhaustive()
    }
}

//! [`Edges`].

use std::sync::Arc;

use cuminlb_catalog::{InstanceControl, RowStore, WireFormat};

/// What a node needs of the platform that it runs on.
#[derive(Clone)]
pub struct Edges {
    /// The store of rows.
    pub store: Arc<dyn RowStore>,
    /// Orders to instances.
    pub instances: Arc<dyn InstanceControl>,
    /// The names of headers and rows.
    pub wire: Arc<dyn WireFormat>,
}

impl std::fmt::Debug for Edges {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Edges").finish_non_exhaustive()
    }
}

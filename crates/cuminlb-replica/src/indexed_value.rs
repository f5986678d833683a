//! The chunks of one version of a large value.

use cuminlb_types::prelude::*;

use crate::ChunkIndex;

/// The chunks of the value that a row had at a version.
#[derive(Clone, Debug)]
pub(crate) struct IndexedValue {
    pub(crate) version: StoreVersion,
    pub(crate) index: ChunkIndex,
}

//! The request for chunks of a large value.

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::ChunkId;

/// Requests chunks of the value of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The table.
    pub table: StoreTable,
    /// The key of the row.
    pub key: RowKey,
    /// The chunks that the requester lacks.
    pub chunks: Vec<ChunkId>,
}

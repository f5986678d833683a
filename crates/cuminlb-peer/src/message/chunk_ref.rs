//! The reference to one chunk of a large value.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::ChunkId;

/// One chunk of a large value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkRef {
    /// The id of the chunk.
    pub id: ChunkId,
    /// The length of the chunk.
    pub length_bytes: ByteCount,
}

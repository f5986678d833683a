//! A chunk of a large value.

use serde::{Deserialize, Serialize};

use super::ChunkId;

/// A chunk of the value of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ValueChunk {
    /// The id of the chunk.
    pub id: ChunkId,
    /// The content.
    pub bytes: Vec<u8>,
}

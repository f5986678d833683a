//! The description of a large value by the ids of its chunks.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{ChunkId, ChunkRef};

/// A large value as the sequence of its chunks, so that a node which has most of them requests only
/// the others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkList {
    /// The id of the whole value.
    pub digest: ChunkId,
    /// The chunks in order.
    pub chunks: Vec<ChunkRef>,
}

impl ChunkList {
    /// Returns the length of the whole value.
    pub fn length_bytes(&self) -> ByteCount {
        ByteCount(self.chunks.iter().map(|it| it.length_bytes.get()).sum())
    }
}

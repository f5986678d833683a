//! [`ChunkId`].

use serde::Deserialize;
use smol_str::SmolStr;

/// The id in a chunk, by which a stream is matched to its own request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ChunkId {
    /// The id of the request that the chunk answers.
    pub id: SmolStr,
}

impl ChunkId {
    /// Reads the id out of the data of a chunk; `None` where there is none.
    pub fn of_data(data: &[u8]) -> Option<Self> {
        serde_json::from_slice(data).ok()
    }
}

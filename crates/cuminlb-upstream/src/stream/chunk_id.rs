//! The request id in a chunk, which detects a response to another request.

use serde::Deserialize;
use smol_str::SmolStr;

/// The id in a chunk, which identifies the request that the stream responds to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ChunkId {
    /// The id of the request that the chunk responds to.
    pub id: SmolStr,
}

impl ChunkId {
    /// Decodes the id from the data of a chunk; returns `None` if the chunk has none.
    pub fn from_data(data: &[u8]) -> Option<Self> {
        serde_json::from_slice(data).ok()
    }
}

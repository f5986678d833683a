//! The value of a row that nodes relay to each other.

use serde::{Deserialize, Serialize};

use super::ChunkList;

/// The value of a relayed row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayedValue {
    /// The row was removed.
    Removed,
    /// The value itself.
    Whole(Vec<u8>),
    /// A value that is too large for an urgent message: the receiver requests the chunks that it
    /// lacks.
    Chunked(ChunkList),
}

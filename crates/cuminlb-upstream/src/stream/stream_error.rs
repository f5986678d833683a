//! The errors in the content of a streamed response.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a stream can't be forwarded to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StreamError {
    /// An event exceeds the maximum length.
    #[error("an event of the stream is longer than {max_len_bytes}")]
    EventTooLong {
        /// The maximum length of an event.
        max_len_bytes: ByteCount,
    },
    /// A chunk contains the id of another request.
    #[error("the stream contains a response to request `{found}`")]
    RequestIdMismatch {
        /// The request id in the chunk.
        found: SmolStr,
    },
    /// The stream ended without the end marker.
    #[error("the stream ended without the end marker")]
    Incomplete,
    /// The resumed stream does not continue where the previous one was interrupted.
    #[error("the engine did not resume the stream after chunk {delivered_chunks}")]
    NotResumed {
        /// The number of chunks that have been delivered to the caller.
        delivered_chunks: u64,
    },
}

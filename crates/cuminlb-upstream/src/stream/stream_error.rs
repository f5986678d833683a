//! [`StreamError`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a stream can't be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StreamError {
    /// One event is longer than allowed.
    #[error("an event of the stream is longer than {max_len_bytes}")]
    EventTooLong {
        /// The bound.
        max_len_bytes: ByteCount,
    },
    /// A chunk carries the id of another request.
    #[error("the stream carries an answer to request `{found}`")]
    WrongRequest {
        /// The id that was found.
        found: SmolStr,
    },
    /// The stream ended without its end marker.
    #[error("the stream ended before its end marker")]
    Incomplete,
    /// The answer to a resume does not begin where the stream broke off.
    #[error("the engine did not resume the stream after chunk {delivered_chunks}")]
    NotResumed {
        /// The number of chunks that the caller has.
        delivered_chunks: u64,
    },
}

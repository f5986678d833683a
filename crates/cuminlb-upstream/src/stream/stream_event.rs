//! [`StreamEvent`].

use bytes::Bytes;

/// The data of the event that ends a whole stream.
pub const DONE_MARKER: &str = "[DONE]";

/// One whole server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A chunk of the answer.
    Chunk {
        /// The event as it came, with its end.
        raw: Bytes,
        /// The data of the event.
        data: Bytes,
    },
    /// The end of the answer.
    Done {
        /// The event as it came, with its end.
        raw: Bytes,
    },
}

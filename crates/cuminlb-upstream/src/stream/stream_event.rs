//! A complete event of a stream, with the bytes to forward unchanged.

use bytes::Bytes;
use cuminlb_types::prelude::*;

/// The data of the event that marks the end of a complete stream.
pub const DONE_MARKER: &str = "[DONE]";

/// A complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A chunk of the response.
    Chunk {
        /// The event as received, including the blank line that ends it.
        raw: Bytes,
        /// The joined data lines of the event.
        data: Bytes,
    },
    /// The end of the response.
    Done {
        /// The event as received, including the blank line that ends it.
        raw: Bytes,
    },
}

impl StreamEvent {
    /// Returns the event as received, including the blank line that ends it.
    pub const fn raw(&self) -> &Bytes {
        match self {
            Self::Chunk { raw, .. } | Self::Done { raw } => raw,
        }
    }

    /// Returns the number of the event in its stream, if the event has a numeric id.
    pub fn id(&self) -> Option<EventId> {
        let mut lines = self.raw().split(|&byte| byte == b'\n');
        let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    }
}

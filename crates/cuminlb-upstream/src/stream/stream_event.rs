//! [`StreamEvent`].

use bytes::Bytes;
use cuminlb_types::prelude::*;

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

impl StreamEvent {
    /// Returns the event as it came, with its end.
    pub const fn raw(&self) -> &Bytes {
        match self {
            Self::Chunk { raw, .. } | Self::Done { raw } => raw,
        }
    }

    /// Returns the number that the event has in its stream, where it has one.
    pub fn id(&self) -> Option<EventId> {
        let mut lines = self.raw().split(|&byte| byte == b'\n');
        let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    }
}

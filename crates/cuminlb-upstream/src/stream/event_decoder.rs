//! An incremental decoder of server-sent events.

use bytes::{Bytes, BytesMut};
use cuminlb_types::prelude::*;

use super::{DONE_MARKER, StreamError, StreamEvent};

/// The maximum length of an event, including the blank line that ends it.
const MAX_EVENT_LEN_BYTES: usize = 1 << 20;

/// Splits the bytes of a stream into complete server-sent events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// The length of the prefix of `buffer` that has been searched for the end of an event.
    scanned_len_bytes: usize,
}

impl EventDecoder {
    /// Appends bytes received from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::EventTooLong`] if an event exceeds 1 MiB.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamError> {
        let end = self.find_end();
        if end.unwrap_or(self.buffer.len()) > MAX_EVENT_LEN_BYTES {
            let max_len_bytes = ByteCount(MAX_EVENT_LEN_BYTES as u64);
            return Err(StreamError::EventTooLong { max_len_bytes });
        }
        let Some(end) = end else {
            return Ok(None);
        };
        let raw = self.buffer.split_to(end).freeze();
        self.scanned_len_bytes = 0;
        let data = event_data(&raw);
        if data.as_ref() == DONE_MARKER.as_bytes() {
            return Ok(Some(StreamEvent::Done { raw }));
        }
        Ok(Some(StreamEvent::Chunk { raw, data }))
    }

    /// Returns the number of bytes that the buffer holds.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer holds no bytes of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the buffer holds the start of an event that is neither a comment nor the end
    /// marker.
    pub fn has_begun_event(&self) -> bool {
        let mut lines = self.buffer[..].split(|&byte| byte == b'\n');
        if lines.any(|line| line.starts_with(b"id:")) {
            return true;
        }
        let data = event_data(&self.buffer);
        !data.is_empty() && !DONE_MARKER.as_bytes().starts_with(&data)
    }

    /// Returns the position just after the blank line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        // A blank line may begin in the last 3 bytes that were searched before.
        let start = self.scanned_len_bytes.saturating_sub(3);
        let bytes = &self.buffer[start..];
        let end = (0..bytes.len()).find_map(|offset| {
            let remaining = &bytes[offset..];
            if remaining.starts_with(b"\n\n") {
                Some(offset + 2)
            } else if remaining.starts_with(b"\r\n\r\n") {
                Some(offset + 4)
            } else {
                None
            }
        });
        self.scanned_len_bytes = self.buffer.len();
        end.map(|end| start + end)
    }
}

/// Returns the data lines of an event, joined by line feeds as the event stream format requires.
fn event_data(raw: &[u8]) -> Bytes {
    let mut data = BytesMut::new();
    let mut is_first = true;
    for line in raw.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        if !is_first {
            data.extend_from_slice(b"\n");
        }
        is_first = false;
        data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
    data.freeze()
}

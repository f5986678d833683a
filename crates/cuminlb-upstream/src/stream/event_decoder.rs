//! [`EventDecoder`].

use bytes::{Bytes, BytesMut};
use cuminlb_types::prelude::*;

use super::{DONE_MARKER, StreamError, StreamEvent};

/// The longest event that is accepted.
const MAX_EVENT_LEN_BYTES: usize = 1 << 20;

/// Cuts the bytes of a stream into whole server-sent events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl EventDecoder {
    /// Adds bytes as they came from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or `None` until more bytes have come.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::EventTooLong`] when an event exceeds its bound.
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
        self.scanned_bytes = 0;
        let data = event_data(&raw);
        if data.as_ref() == DONE_MARKER.as_bytes() {
            return Ok(Some(StreamEvent::Done { raw }));
        }
        Ok(Some(StreamEvent::Chunk { raw, data }))
    }

    /// Tells whether no bytes of an unfinished event are left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the end of the first event: just past its blank line.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned_bytes.saturating_sub(3);
        let bytes = &self.buffer[start..];
        let end = (0..bytes.len()).find_map(|at| {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                Some(at + 2)
            } else if rest.starts_with(b"\r\n\r\n") {
                Some(at + 4)
            } else {
                None
            }
        });
        self.scanned_bytes = self.buffer.len();
        end.map(|end| start + end)
    }
}

/// Returns the data lines of an event, joined by line feeds as the format says.
fn event_data(raw: &Bytes) -> Bytes {
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

//! Sanitizes the texts of events, parts of which come from callers.

use smol_str::SmolStr;

use crate::EventKind;

/// The maximum length of a text of an event.
const MAX_TEXT_LEN_BYTES: usize = 256;

impl EventKind {
    /// Returns the event with its texts truncated to a bounded length and control characters
    /// replaced by spaces.
    #[must_use]
    pub(crate) fn with_sanitized_texts(mut self) -> Self {
        match &mut self {
            Self::StandingChanged { reason, .. }
            | Self::LeaseLost { reason, .. }
            | Self::GroupStopped { reason, .. } => sanitize(reason),
            Self::RequestRejected { code, reason, .. }
            | Self::RequestEnded { code, reason, .. } => {
                sanitize(code);
                sanitize(reason);
            }
            _ => {}
        }
        self
    }
}

fn sanitize(text: &mut SmolStr) {
    if text.len() <= MAX_TEXT_LEN_BYTES && !text.contains(char::is_control) {
        return;
    }
    let end = text.floor_char_boundary(MAX_TEXT_LEN_BYTES);
    *text = text[..end].replace(char::is_control, " ").into();
}

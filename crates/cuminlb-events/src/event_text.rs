//! Bounds the texts of events, parts of which come from callers.

use smol_str::SmolStr;

use crate::EventKind;

/// The longest text of an event, in bytes.
const MAX_TEXT_LEN_BYTES: usize = 256;

impl EventKind {
    /// Returns the event with its texts cut to a bounded length and free of control characters.
    #[must_use]
    pub(crate) fn with_bounded_texts(mut self) -> Self {
        match &mut self {
            Self::StandingChanged { reason, .. }
            | Self::LeaseLost { reason, .. }
            | Self::GroupStopped { reason, .. } => bound(reason),
            Self::RequestRejected { code, reason, .. }
            | Self::RequestEnded { code, reason, .. } => {
                bound(code);
                bound(reason);
            }
            _ => {}
        }
        self
    }
}

fn bound(text: &mut SmolStr) {
    if text.len() <= MAX_TEXT_LEN_BYTES && !text.contains(char::is_control) {
        return;
    }
    let end = text.floor_char_boundary(MAX_TEXT_LEN_BYTES);
    *text = text[..end].replace(char::is_control, " ").into();
}

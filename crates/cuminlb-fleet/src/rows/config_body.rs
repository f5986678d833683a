//! Where the text of a configuration is stored.

use serde::{Deserialize, Serialize};

/// The longest text that is stored in the row itself.
const MAX_INLINE_LEN_BYTES: usize = 16 << 10;

/// The text of a configuration, or where it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigBody {
    /// In the row.
    Inline(String),
    /// In the object store, under its digest.
    Object,
}

impl ConfigBody {
    /// Chooses where a text is stored, by its length.
    pub fn for_text(text: &str) -> Self {
        if text.len() <= MAX_INLINE_LEN_BYTES {
            Self::Inline(text.to_owned())
        } else {
            Self::Object
        }
    }
}

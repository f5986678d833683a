//! [`ConfigBody`].

use serde::{Deserialize, Serialize};

/// The longest text that stands in the row itself.
const MAX_INLINE_LEN_BYTES: usize = 16 << 10;

/// Where the text of a configuration is.
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
    /// Decides where a text is kept.
    pub fn place(text: &str) -> Self {
        if text.len() <= MAX_INLINE_LEN_BYTES {
            Self::Inline(text.to_owned())
        } else {
            Self::Object
        }
    }
}

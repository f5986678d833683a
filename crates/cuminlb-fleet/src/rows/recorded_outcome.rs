//! [`RecordedOutcome`] and [`RecordedBody`].

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The longest body that is kept in a claim.
const MAX_KEPT_BODY_LEN_BYTES: usize = 16 << 10;

/// The answer to a claimed request, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type, where the answer had one.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: RecordedBody,
}

/// The body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// A body that is text.
    Text(String),
    /// A body that is not text.
    Binary(Vec<u8>),
    /// The body was too long to be kept.
    NotKept {
        /// The length of the body.
        len_bytes: u64,
    },
}

impl RecordedBody {
    /// Keeps a body, unless it is too long.
    pub fn of_body(body: &[u8]) -> Self {
        if body.len() > MAX_KEPT_BODY_LEN_BYTES {
            let len_bytes = body.len() as u64;
            return Self::NotKept { len_bytes };
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Binary(body.to_vec()),
        }
    }

    /// Returns the body, or `None` where it was not kept.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Binary(bytes) => Some(bytes),
            Self::NotKept { .. } => None,
        }
    }
}

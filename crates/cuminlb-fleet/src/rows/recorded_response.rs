//! The response that a claim stores, so that a retry of the request receives it again.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The longest body that is stored in a claim.
const MAX_STORED_BODY_LEN_BYTES: usize = 16 << 10;

/// The response to a claimed request, stored to be replayed to retries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the response had one.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: RecordedBody,
}

/// The body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// A body that is valid UTF-8.
    Text(String),
    /// A body that is not valid UTF-8.
    Binary(Vec<u8>),
    /// The body was too long to be stored.
    NotKept {
        /// The length of the body.
        len_bytes: u64,
    },
}

impl RecordedBody {
    /// Records a body, or only its length if it is too long.
    pub fn of_body(body: &[u8]) -> Self {
        if body.len() > MAX_STORED_BODY_LEN_BYTES {
            let len_bytes = body.len() as u64;
            return Self::NotKept { len_bytes };
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Binary(body.to_vec()),
        }
    }

    /// Returns the body, or `None` if it was not stored.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Binary(bytes) => Some(bytes),
            Self::NotKept { .. } => None,
        }
    }
}

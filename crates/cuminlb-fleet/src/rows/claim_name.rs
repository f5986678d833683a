//! [`ClaimName`].

use cuminlb_types::prelude::*;

/// What a claim is named by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimName {
    /// The key by which the caller marks repeats.
    Key(IdempotencyKey),
    /// The request itself, where the caller sent no key.
    Request(RequestId),
}

impl ClaimName {
    /// Returns the word that keeps keys and request ids apart.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Key(_) => "key",
            Self::Request(_) => "request",
        }
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Key(key) => key.as_str(),
            Self::Request(request) => request.as_str(),
        }
    }
}

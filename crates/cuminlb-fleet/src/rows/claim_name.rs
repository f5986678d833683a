//! The name under which a claim is stored, from which the key of its row is derived.

use cuminlb_types::prelude::*;

/// The name of the claim of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimName {
    /// The idempotency key that the caller sends with a request and its retries.
    Key(IdempotencyKey),
    /// The id of the request, if the caller sent no idempotency key.
    Request(RequestId),
}

impl ClaimName {
    /// Returns the kind of the name, which keeps equal keys and request ids distinct.
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

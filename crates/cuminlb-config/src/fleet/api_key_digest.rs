//! The digest of an API key, by which callers are authenticated.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::{ParseValueError, Sha256Digest};

/// The SHA-256 digest of a team's API key; the key itself is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest(Sha256Digest);

impl ApiKeyDigest {
    /// Computes the digest of an API key.
    pub fn compute(key: &str) -> Self {
        Self(Sha256Digest::compute(key))
    }
}

impl fmt::Display for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ApiKeyDigest {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

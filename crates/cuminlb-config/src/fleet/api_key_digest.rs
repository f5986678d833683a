//! [`ApiKeyDigest`].

use std::fmt;
use std::str::FromStr;

use cuminlb_types::UnknownWordError;
use sha2::{Digest, Sha256};

/// The SHA-256 digest of a team's API key; the key itself is kept nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// Computes the digest of a key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ApiKeyDigest {
    type Err = UnknownWordError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || UnknownWordError {
            expected: "64 hexadecimal digits",
            text: text.into(),
        };
        if text.len() != 64 || !text.is_ascii() {
            return Err(bad());
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| bad())?;
        }
        Ok(Self(digest))
    }
}

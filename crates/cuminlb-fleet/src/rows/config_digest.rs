//! [`ConfigDigest`].

use std::fmt;
use std::str::FromStr;

use cuminlb_types::UnknownWordError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// The SHA-256 digest of the text of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConfigDigest([u8; 32]);

impl ConfigDigest {
    /// Computes the digest of a text.
    pub fn of_text(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ConfigDigest {
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

impl Serialize for ConfigDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ConfigDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

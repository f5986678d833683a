//! A SHA-256 digest and its hexadecimal text form.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};

use super::ParseValueError;

const DIGEST_LEN_BYTES: usize = 32;

/// A SHA-256 digest; its text form is 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Sha256Digest([u8; DIGEST_LEN_BYTES]);

impl Sha256Digest {
    /// Computes the digest of the bytes of a text.
    pub fn compute(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Sha256Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Sha256Digest {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseValueError {
            expected: "64 hexadecimal digits",
            text: text.into(),
        };
        if text.len() != 2 * DIGEST_LEN_BYTES || !text.is_ascii() {
            return Err(invalid());
        }
        let mut digest = [0; DIGEST_LEN_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<SmolStr> for Sha256Digest {
    type Error = ParseValueError;

    fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Sha256Digest> for SmolStr {
    fn from(digest: Sha256Digest) -> Self {
        digest.to_smolstr()
    }
}

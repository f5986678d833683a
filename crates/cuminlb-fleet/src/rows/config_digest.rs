//! The digest that identifies the text of a configuration.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::{ParseValueError, Sha256Digest};
use serde::{Deserialize, Serialize};

/// The SHA-256 digest of the text of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigDigest(Sha256Digest);

impl ConfigDigest {
    /// Computes the digest of a text.
    pub fn compute(text: &str) -> Self {
        Self(Sha256Digest::compute(text))
    }
}

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ConfigDigest {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

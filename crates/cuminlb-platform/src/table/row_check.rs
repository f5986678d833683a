//! Preconditions of a transaction on the wire.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A precondition of a transaction on one row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowCheck {
    /// The row.
    pub key: RowKey,
    /// The state that the row must be in.
    pub expected: Expected,
}

/// The state that a row must be in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(RowVersion),
}

impl Expected {
    /// Returns the version that the row must have; `None` if it must be absent.
    pub const fn version(self) -> Option<RowVersion> {
        match self {
            Self::Absent => None,
            Self::Version(version) => Some(version),
        }
    }
}

impl From<Option<RowVersion>> for Expected {
    fn from(version: Option<RowVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }
}

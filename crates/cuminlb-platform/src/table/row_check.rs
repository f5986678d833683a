//! [`RowCheck`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a transaction expects of one row before it writes.
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
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

impl Expected {
    /// Returns the version that the row must have; `None` where it must be absent.
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

//! The version of a row of the platform's store, across restorations of the store.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{ParseValueError, RowVersion, StoreEra};

/// The version of a row or a table of the platform's store, with the era that gave it.
///
/// Versions are ordered by their era first: whatever was read in a later era is newer, although the
/// restored store gives out lower row versions again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StoreVersion {
    /// The era in which the row version was given.
    pub era: StoreEra,
    /// The version within the era.
    pub row: RowVersion,
}

impl StoreVersion {
    /// Creates the version `row` of an era.
    pub const fn new(era: StoreEra, row: RowVersion) -> Self {
        Self { era, row }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.row)
    }
}

impl FromStr for StoreVersion {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseValueError {
            expected: "`ERA.VERSION`",
            text: text.into(),
        };
        let (era, row) = text.split_once('.').ok_or_else(invalid)?;
        Ok(Self {
            era: era.parse().map_err(|_| invalid())?,
            row: row.parse().map_err(|_| invalid())?,
        })
    }
}

//! Decides from the rows of a transaction whether it took effect, when its response was lost.

use cuminlb_types::prelude::*;

use super::{Expected, Row, Transaction};

/// What the rows show about a transaction whose response was lost.
///
/// The variants are ordered by strength: of several rows, the greatest evidence decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CommitEvidence {
    /// The row proves nothing: the transaction may still take effect, or it did and other writers
    /// have overwritten the row.
    Inconclusive,
    /// A row still has the version that the transaction expects, so it has not taken effect yet.
    NotYetApplied,
    /// Another operation replaced exactly the version that the transaction expects, so the
    /// transaction has not taken effect and never will.
    NeverApplied,
    /// The transaction took effect.
    Applied {
        /// The version of the rows that it wrote.
        version: RowVersion,
    },
}

impl CommitEvidence {
    /// Returns the evidence of one row.
    ///
    /// A row that was expected to be absent proves nothing unless it carries the operation id of
    /// the transaction: it could have been written, deleted and written again.
    pub(super) fn from_row<T>(
        transaction: &Transaction,
        key: &RowKey,
        row: Option<&Row<T>>,
    ) -> Self {
        let (Some(row), Some(expected)) = (row, transaction.expected(key)) else {
            return Self::Inconclusive;
        };
        if row.operation == transaction.operation {
            let version = row.version;
            return Self::Applied { version };
        }
        match expected {
            Expected::Version(version) if version == row.version => Self::NotYetApplied,
            Expected::Version(version) if row.replaced == Some(version) => Self::NeverApplied,
            Expected::Version(_) | Expected::Absent => Self::Inconclusive,
        }
    }
}

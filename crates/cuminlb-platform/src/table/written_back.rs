//! [`WrittenBack`].

use cuminlb_types::prelude::*;

use super::{Expected, Row, Transaction};

/// What the rows say about a transaction whose answer was lost; the greatest is the surest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WrittenBack {
    /// Nothing certain: it may take effect yet, or others may have written over it.
    Unclear,
    /// A row still has the version that the transaction expects, so it has not taken effect yet.
    Unchanged,
    /// Another operation replaced the very version that the transaction expects, so the
    /// transaction has not taken effect and never will.
    OtherInstead,
    /// The transaction took effect.
    Own {
        /// The version of the rows that it wrote.
        version: RowVersion,
    },
}

impl WrittenBack {
    /// Judges by one row.
    ///
    /// A row that was expected to be absent tells nothing unless it carries the operation: it
    /// could have been written, removed and written again.
    pub(super) fn judge<T>(transaction: &Transaction, key: &RowKey, row: Option<&Row<T>>) -> Self {
        let (Some(row), Some(expected)) = (row, transaction.expected(key)) else {
            return Self::Unclear;
        };
        if row.operation == transaction.operation {
            let version = row.version;
            return Self::Own { version };
        }
        match expected {
            Expected::Version(version) if version == row.version => Self::Unchanged,
            Expected::Version(version) if row.replaced == Some(version) => Self::OtherInstead,
            Expected::Version(_) | Expected::Absent => Self::Unclear,
        }
    }
}

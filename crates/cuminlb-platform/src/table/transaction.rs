//! [`Transaction`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Expected, RowChange, RowCheck, RowWrite, StoredRow, TableError};

/// Checks and writes that take effect together or not at all.
///
/// Every row that is written is also checked, so that a repeat of the same transaction can never
/// take effect twice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// The id that the rows written will carry.
    pub operation: OperationId,
    /// What must hold before.
    pub checks: Vec<RowCheck>,
    /// What holds after.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    /// Starts an empty transaction.
    pub const fn new(operation: OperationId) -> Self {
        Self {
            operation,
            checks: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds a check of a row that is not written.
    #[must_use]
    pub fn check(mut self, key: RowKey, expected: impl Into<Expected>) -> Self {
        self.checks.push(RowCheck {
            key,
            expected: expected.into(),
        });
        self
    }

    /// Adds a row that is written whole if it is in the expected state.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Encode`] when the value has no JSON form.
    pub fn put<T: Serialize>(
        mut self,
        key: RowKey,
        expected: impl Into<Expected>,
        value: &T,
    ) -> Result<Self, TableError> {
        let row = StoredRow {
            operation: self.operation.clone(),
            value,
        };
        let text = serde_json::to_string(&row).map_err(|error| TableError::encode(&key, &error))?;
        self.writes.push(RowWrite {
            key: key.clone(),
            change: RowChange::Put(text),
        });
        Ok(self.check(key, expected))
    }

    /// Adds a row that is removed if it has the expected version.
    #[must_use]
    pub fn delete(mut self, key: RowKey, expected: RowVersion) -> Self {
        self.writes.push(RowWrite {
            key: key.clone(),
            change: RowChange::Delete,
        });
        self.check(key, Expected::Version(expected))
    }
}

//! The wire format of a transaction, and its builder.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Expected, RowChange, RowCheck, RowWrite, StoredRow, TableError};

/// Checks and writes that are applied atomically.
///
/// Every row that is written is also checked, so that retries of the same transaction can never
/// take effect twice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// The operation id that the written rows carry.
    pub operation: OperationId,
    /// The preconditions; if one does not hold, nothing is written.
    pub checks: Vec<RowCheck>,
    /// The rows to write or delete.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    /// Creates a transaction without checks and writes.
    pub const fn new(operation: OperationId) -> Self {
        Self {
            operation,
            checks: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds a check of a row that the transaction does not write.
    #[must_use]
    pub fn check(mut self, key: RowKey, expected: impl Into<Expected>) -> Self {
        self.checks.push(RowCheck {
            key,
            expected: expected.into(),
        });
        self
    }

    /// Adds a write that creates or replaces a row if it is in the expected state.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Encode`] if the value can't be encoded as JSON.
    pub fn put<T: Serialize>(
        mut self,
        key: RowKey,
        expected: impl Into<Expected>,
        value: &T,
    ) -> Result<Self, TableError> {
        let expected = expected.into();
        let row = StoredRow {
            operation: self.operation.clone(),
            replaced: expected.version(),
            value,
        };
        let text = serde_json::to_string(&row).map_err(|error| TableError::encode(&key, &error))?;
        self.writes.push(RowWrite {
            key: key.clone(),
            change: RowChange::Put(text),
        });
        Ok(self.check(key, expected))
    }

    /// Returns the keys of the rows that are created or replaced, but not of those deleted.
    pub fn put_keys(&self) -> impl Iterator<Item = &RowKey> {
        let is_put = |write: &&RowWrite| matches!(write.change, RowChange::Put(_));
        self.writes.iter().filter(is_put).map(|write| &write.key)
    }

    /// Returns the expected state of a row, or `None` if the transaction does not check it.
    pub fn expected(&self, key: &RowKey) -> Option<Expected> {
        let check = self.checks.iter().find(|check| check.key == *key)?;
        Some(check.expected)
    }

    /// Returns whether a failed check of `key` rules out that the transaction ever takes effect:
    /// it expects a version, which has been replaced, whereas an absent row can be absent again.
    pub fn is_conflict_permanent(&self, key: &RowKey) -> bool {
        matches!(self.expected(key), Some(Expected::Version(_)))
    }

    /// Adds a write that deletes a row if it has the expected version.
    #[must_use]
    pub fn delete(mut self, key: RowKey, expected: RowVersion) -> Self {
        self.writes.push(RowWrite {
            key: key.clone(),
            change: RowChange::Delete,
        });
        self.check(key, Expected::Version(expected))
    }
}

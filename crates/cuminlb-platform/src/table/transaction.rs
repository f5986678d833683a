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

    /// Returns the keys of the rows that are written whole.
    pub fn put_keys(&self) -> impl Iterator<Item = &RowKey> {
        let is_put = |write: &&RowWrite| matches!(write.change, RowChange::Put(_));
        self.writes.iter().filter(is_put).map(|write| &write.key)
    }

    /// Returns the state in which the transaction expects a row that it checks.
    pub fn expected(&self, key: &RowKey) -> Option<Expected> {
        let check = self.checks.iter().find(|check| check.key == *key)?;
        Some(check.expected)
    }

    /// Tells whether the transaction can never take effect once the check of `key` has failed:
    /// the version that it expects has been replaced.
    pub fn fails_for_good(&self, key: &RowKey) -> bool {
        matches!(self.expected(key), Some(Expected::Version(_)))
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

//! A client of the table service with typed rows, retries and resolution of lost responses.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::{
    CommitEvidence, CommitOutcome, Row, RowQuery, RowResponse, StoredRow, TableError, TableService,
    Transaction,
};
use crate::PlatformError;

/// The initial delay before an unacknowledged transaction is retried; doubled at each retry.
const MIN_BACKOFF_MS: u64 = 20;

/// The longest delay before an unacknowledged transaction is retried.
const MAX_BACKOFF_MS: u64 = 500;

/// Reads and writes typed rows, and finds out whether writes whose response was lost took effect.
#[derive(Clone)]
pub struct TableClient {
    service: Arc<dyn TableService>,
}

impl TableClient {
    /// Wraps a table service.
    pub fn new(service: Arc<dyn TableService>) -> Self {
        Self { service }
    }

    /// Returns a new random operation id of 128 bits.
    ///
    /// # Panics
    ///
    /// Never: 32 hexadecimal digits are a valid id.
    #[expect(clippy::expect_used, reason = "hexadecimal digits are valid in an id")]
    pub fn new_operation_id(&self) -> OperationId {
        let random_bits: u128 = rand::rng().random();
        format_smolstr!("{random_bits:032x}")
            .try_into()
            .expect("hexadecimal digits are valid in an id")
    }

    /// Reads and decodes one row; returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] if the row could not be read or decoded.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &RowKey,
    ) -> Result<Option<Row<T>>, TableError> {
        let rows = self.read_many(std::slice::from_ref(key)).await?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Reads rows from one consistent snapshot and returns them in the order of the keys.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] if the rows could not be read or one could not be decoded.
    pub async fn read_many<T: DeserializeOwned>(
        &self,
        keys: &[RowKey],
    ) -> Result<Vec<Option<Row<T>>>, TableError> {
        let unconditional = |key: &RowKey| RowQuery {
            key: key.clone(),
            known: None,
        };
        let queries: Vec<RowQuery> = keys.iter().map(unconditional).collect();
        let responses = self.query(&queries).await?;
        keys.iter()
            .zip(responses)
            .map(|(key, response)| Self::decode(key, response))
            .collect()
    }

    /// Queries rows; the text of rows whose current version is already known is left out.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::NotReached`] if the call failed.
    pub async fn query(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, TableError> {
        let responses = self
            .service
            .read(queries)
            .await
            .map_err(TableError::NotReached)?;
        if responses.len() != queries.len() {
            let reason = format_smolstr!(
                "got {} responses to {} queries",
                responses.len(),
                queries.len()
            );
            return Err(TableError::NotReached(PlatformError::Malformed { reason }));
        }
        Ok(responses)
    }

    /// Decodes a response into a typed row; returns `None` if the row is absent or unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Decode`] if the row does not hold a `T`.
    pub fn decode<T: DeserializeOwned>(
        key: &RowKey,
        response: RowResponse,
    ) -> Result<Option<Row<T>>, TableError> {
        let RowResponse::Found { version, text } = response else {
            return Ok(None);
        };
        let stored: StoredRow<T> =
            serde_json::from_str(&text).map_err(|error| TableError::decode(key, &error))?;
        Ok(Some(Row {
            version,
            operation: stored.operation,
            replaced: stored.replaced,
            value: stored.value,
        }))
    }

    /// Writes one row if it has the expected version, or is absent if `expected` is `None`.
    ///
    /// # Errors
    ///
    /// As [`Self::commit`].
    pub async fn put<T: Serialize>(
        &self,
        key: RowKey,
        expected: Option<RowVersion>,
        value: &T,
        timeout: Duration,
    ) -> Result<CommitOutcome, TableError> {
        let transaction = Transaction::new(self.new_operation_id()).put(key, expected, value)?;
        self.commit(&transaction, timeout).await
    }

    /// Commits a transaction; if the response is lost, finds out whether it took effect.
    ///
    /// The same transaction is retried with jittered exponential backoff until the table returns
    /// an outcome or `timeout` has passed. It can't take effect twice, because each row that it
    /// writes is also checked. Between attempts, and after a conflict, the rows are read back: the
    /// operation id in them shows whether an earlier attempt took effect.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::NotReached`] if certainly nothing has been written, and
    /// [`TableError::Unknown`] if the timeout passed before the effect was known, or if other
    /// writers have changed the rows so that it can no longer be known.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<CommitOutcome, TableError> {
        let deadline = Instant::now() + timeout;
        let mut may_be_written = false;
        let mut backoff_ms = MIN_BACKOFF_MS;
        loop {
            let error = match self.service.commit(transaction).await {
                Ok(CommitOutcome::Conflict { key, found }) if may_be_written => {
                    return self.resolve_conflict(transaction, key, found).await;
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            may_be_written |= error.may_have_taken_effect();
            if may_be_written
                && let Ok(CommitEvidence::Applied { version }) = self.read_back(transaction).await
            {
                return Ok(CommitOutcome::Committed { version });
            }
            let jittered_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
            let next_attempt = Instant::now() + Duration::from_millis(jittered_ms);
            if next_attempt >= deadline {
                return Err(Self::timeout_error(transaction, error, may_be_written));
            }
            tokio::time::sleep_until(next_attempt).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Finds out whether a conflict was caused by an earlier attempt of the same transaction.
    async fn resolve_conflict(
        &self,
        transaction: &Transaction,
        key: RowKey,
        found: Option<RowVersion>,
    ) -> Result<CommitOutcome, TableError> {
        match self.read_back(transaction).await {
            Ok(CommitEvidence::Applied { version }) => Ok(CommitOutcome::Committed { version }),
            Ok(CommitEvidence::NeverApplied) => Ok(CommitOutcome::Conflict { key, found }),
            Ok(CommitEvidence::NotYetApplied) if transaction.is_conflict_permanent(&key) => {
                Ok(CommitOutcome::Conflict { key, found })
            }
            Ok(CommitEvidence::NotYetApplied | CommitEvidence::Inconclusive) => {
                Err(TableError::Unknown {
                    operation: transaction.operation.clone(),
                    source: PlatformError::Overwritten,
                })
            }
            Err(TableError::NotReached(source)) => Err(TableError::Unknown {
                operation: transaction.operation.clone(),
                source,
            }),
            Err(other) => Err(other),
        }
    }

    /// Reads the rows that a transaction writes and returns the strongest evidence in them.
    async fn read_back(&self, transaction: &Transaction) -> Result<CommitEvidence, TableError> {
        let keys: Vec<RowKey> = transaction.put_keys().cloned().collect();
        if keys.is_empty() {
            return Ok(CommitEvidence::Inconclusive);
        }
        let rows = self.read_many::<serde_json::Value>(&keys).await?;
        let evidence = keys
            .iter()
            .zip(&rows)
            .map(|(key, row)| CommitEvidence::from_row(transaction, key, row.as_ref()));
        Ok(evidence.max().unwrap_or(CommitEvidence::Inconclusive))
    }

    fn timeout_error(
        transaction: &Transaction,
        source: PlatformError,
        may_be_written: bool,
    ) -> TableError {
        if may_be_written {
            TableError::Unknown {
                operation: transaction.operation.clone(),
                source,
            }
        } else {
            TableError::NotReached(source)
        }
    }
}

//! [`Table`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::{
    CommitOutcome, Row, RowAnswer, RowQuery, StoredRow, TableError, TableService, Transaction,
    WrittenBack,
};
use crate::PlatformError;

/// The first pause before a transaction without an answer is sent again.
const RETRY_MIN_MS: u64 = 20;

/// The longest pause before a transaction without an answer is sent again.
const RETRY_MAX_MS: u64 = 500;

/// Reads and writes typed rows, and resolves writes whose answer was lost.
#[derive(Clone)]
pub struct Table {
    service: Arc<dyn TableService>,
}

impl Table {
    /// Wraps a table service.
    pub fn new(service: Arc<dyn TableService>) -> Self {
        Self { service }
    }

    /// Returns a new operation id.
    ///
    /// # Panics
    ///
    /// Never: the text of a number is a valid id.
    #[expect(
        clippy::expect_used,
        reason = "hexadecimal digits are allowed in every id"
    )]
    pub fn new_operation(&self) -> OperationId {
        let number: u128 = rand::rng().random();
        format_smolstr!("{number:032x}")
            .try_into()
            .expect("hexadecimal digits form an id")
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the row could not be read.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &RowKey,
    ) -> Result<Option<Row<T>>, TableError> {
        let rows = self.read_many(std::slice::from_ref(key)).await?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Reads rows from one moment, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the rows could not be read.
    pub async fn read_many<T: DeserializeOwned>(
        &self,
        keys: &[RowKey],
    ) -> Result<Vec<Option<Row<T>>>, TableError> {
        let query = |key: &RowKey| RowQuery {
            key: key.clone(),
            known: None,
        };
        let queries: Vec<RowQuery> = keys.iter().map(query).collect();
        let answers = self.query(&queries).await?;
        keys.iter()
            .zip(answers)
            .map(|(key, answer)| Self::decode(key, answer))
            .collect()
    }

    /// Asks for rows, without the text of those whose version is known.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::NotReached`] when no answer could be had.
    pub async fn query(&self, queries: &[RowQuery]) -> Result<Vec<RowAnswer>, TableError> {
        let answers = self
            .service
            .read(queries)
            .await
            .map_err(TableError::NotReached)?;
        if answers.len() != queries.len() {
            let reason = format_smolstr!("{} answers to {} queries", answers.len(), queries.len());
            return Err(TableError::NotReached(PlatformError::Malformed { reason }));
        }
        Ok(answers)
    }

    /// Reads the typed value out of an answer.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Decode`] when the row holds something else.
    pub fn decode<T: DeserializeOwned>(
        key: &RowKey,
        answer: RowAnswer,
    ) -> Result<Option<Row<T>>, TableError> {
        let RowAnswer::Found { version, text } = answer else {
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

    /// Writes one row if it is in the expected state.
    ///
    /// # Errors
    ///
    /// As [`Self::commit`].
    pub async fn put<T: Serialize>(
        &self,
        key: RowKey,
        expected: Option<RowVersion>,
        value: &T,
        within: Duration,
    ) -> Result<CommitOutcome, TableError> {
        let transaction = Transaction::new(self.new_operation()).put(key, expected, value)?;
        self.commit(&transaction, within).await
    }

    /// Commits a transaction and, where its answer is lost, finds out what became of it.
    ///
    /// The same transaction is sent again until the table answers: each row that it writes is
    /// also checked, so it can't take effect twice. Between the tries, and after a conflict, the
    /// rows are read back, and tell by the operation that wrote them whether an earlier try took
    /// effect.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::NotReached`] when it is certain that nothing has been written, and
    /// [`TableError::Unknown`] when the time ran out before the effect was known, or when others
    /// have written since and it can no longer be known.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        within: Duration,
    ) -> Result<CommitOutcome, TableError> {
        let deadline = Instant::now() + within;
        let mut may_be_written = false;
        let mut pause_ms = RETRY_MIN_MS;
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
                && let Ok(WrittenBack::Own { version }) = self.read_back(transaction).await
            {
                return Ok(CommitOutcome::Committed { version });
            }
            let jittered_ms = rand::rng().random_range(pause_ms / 2..=pause_ms);
            let next_try = Instant::now() + Duration::from_millis(jittered_ms);
            if next_try >= deadline {
                return Err(Self::give_up(transaction, error, may_be_written));
            }
            tokio::time::sleep_until(next_try).await;
            pause_ms = (pause_ms * 2).min(RETRY_MAX_MS);
        }
    }

    /// Tells whether the conflict is with an earlier try of the same transaction.
    async fn resolve_conflict(
        &self,
        transaction: &Transaction,
        key: RowKey,
        found: Option<RowVersion>,
    ) -> Result<CommitOutcome, TableError> {
        match self.read_back(transaction).await {
            Ok(WrittenBack::Own { version }) => Ok(CommitOutcome::Committed { version }),
            Ok(WrittenBack::OtherInstead) => Ok(CommitOutcome::Conflict { key, found }),
            Ok(WrittenBack::Unchanged) if transaction.fails_for_good(&key) => {
                Ok(CommitOutcome::Conflict { key, found })
            }
            Ok(WrittenBack::Unchanged | WrittenBack::Unclear) => Err(TableError::Unknown {
                operation: transaction.operation.clone(),
                source: PlatformError::Overtaken,
            }),
            Err(TableError::NotReached(source)) => Err(TableError::Unknown {
                operation: transaction.operation.clone(),
                source,
            }),
            Err(other) => Err(other),
        }
    }

    /// Reads the rows that a transaction writes, and judges whether it took effect.
    async fn read_back(&self, transaction: &Transaction) -> Result<WrittenBack, TableError> {
        let puts: Vec<RowKey> = transaction.put_keys().cloned().collect();
        if puts.is_empty() {
            return Ok(WrittenBack::Unclear);
        }
        let rows = self.read_many::<serde_json::Value>(&puts).await?;
        let judged = puts
            .iter()
            .zip(&rows)
            .map(|(key, row)| WrittenBack::judge(transaction, key, row.as_ref()));
        Ok(judged.max().unwrap_or(WrittenBack::Unclear))
    }

    fn give_up(
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

//! [`FakeTable`]: the table in memory, which loses calls and answers.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use cuminlb_platform::{
    CommitOutcome, Expected, PlatformError, RowChange, RowCheck, RowQuery, RowResponse, StoredRow,
    TableService, Transaction,
};
use cuminlb_types::prelude::*;

/// What becomes of one call that commits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It is lost on its way.
    CallLost,
    /// No answer comes, and it takes effect only after a later call.
    Late,
    Unreachable,
}

#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) last_version: RowVersion,
    pub(crate) rows: BTreeMap<RowKey, (RowVersion, String)>,
    late: Vec<Transaction>,
    pub(crate) fates: Vec<Fate>,
}

impl Rows {
    pub(crate) fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.rows.get(key).map(|(version, _)| *version)
    }

    fn apply(&mut self, transaction: &Transaction) -> CommitOutcome {
        let holds = |check: &RowCheck| Expected::from(self.version(&check.key)) == check.expected;
        if let Some(failed) = transaction.checks.iter().find(|check| !holds(check)) {
            let key = failed.key.clone();
            let found = self.version(&key);
            return CommitOutcome::Conflict { key, found };
        }
        self.last_version = self.last_version.next();
        let version = self.last_version;
        for write in &transaction.writes {
            match &write.change {
                RowChange::Put(text) => {
                    self.rows.insert(write.key.clone(), (version, text.clone()));
                }
                RowChange::Delete => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed { version }
    }

    pub(crate) fn value<T: serde::de::DeserializeOwned>(&self, key: &RowKey) -> Option<T> {
        let (_, text) = self.rows.get(key)?;
        let row: StoredRow<T> = serde_json::from_str(text).unwrap();
        Some(row.value)
    }
}

/// The table, in memory.
#[derive(Debug, Default)]
pub(crate) struct FakeTable {
    pub(crate) rows: Mutex<Rows>,
}

#[async_trait]
impl TableService for FakeTable {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError> {
        tokio::task::yield_now().await;
        let rows = self.rows.lock().unwrap();
        let answer = |query: &RowQuery| match rows.rows.get(&query.key) {
            None => RowResponse::Absent,
            Some((version, text)) => RowResponse::Found {
                version: *version,
                text: text.clone(),
            },
        };
        Ok(queries.iter().map(answer).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        tokio::task::yield_now().await;
        let no_answer = Err(PlatformError::NoResponse {
            timeout_ms: Millis(1),
        });
        let mut rows = self.rows.lock().unwrap();
        let late = std::mem::take(&mut rows.late);
        let fate = rows.fates.pop().unwrap_or(Fate::Answered);
        let outcome = match fate {
            Fate::Answered => Ok(rows.apply(transaction)),
            Fate::AnswerLost => {
                rows.apply(transaction);
                no_answer
            }
            Fate::CallLost => no_answer,
            Fate::Late => {
                rows.late.push(transaction.clone());
                no_answer
            }
            Fate::Unreachable => Err(PlatformError::Unreachable {
                address: "table".into(),
                reason: "refused".into(),
            }),
        };
        for transaction in late {
            rows.apply(&transaction);
        }
        outcome
    }
}

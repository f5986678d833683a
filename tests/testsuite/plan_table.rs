//! [`FakeTable`]: an in-memory table that loses requests and responses, for the property test of
//! planners.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use cuminlb_platform::{
    CommitOutcome, Expected, PlatformError, RowChange, RowCheck, RowQuery, RowResponse, StoredRow,
    TableService, Transaction,
};
use cuminlb_types::prelude::*;

/// What happens to one commit call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    Answered,
    /// The commit takes effect and the response is lost.
    ResponseLost,
    /// The request is lost.
    RequestLost,
    /// There is no response, and the commit takes effect after the next commit call.
    Delayed,
    Unreachable,
}

#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) last_version: RowVersion,
    pub(crate) rows: BTreeMap<RowKey, (RowVersion, String)>,
    delayed: Vec<Transaction>,
    pub(crate) call_outcomes: Vec<CallOutcome>,
}

impl Rows {
    pub(crate) fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.rows.get(key).map(|(version, _)| *version)
    }

    fn apply(&mut self, transaction: &Transaction) -> CommitOutcome {
        let is_met = |check: &RowCheck| Expected::from(self.version(&check.key)) == check.expected;
        if let Some(failed) = transaction.checks.iter().find(|check| !is_met(check)) {
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

/// An in-memory table whose commit calls end as `call_outcomes` lists, last entry first.
#[derive(Debug, Default)]
pub(crate) struct FakeTable {
    pub(crate) rows: Mutex<Rows>,
}

#[async_trait]
impl TableService for FakeTable {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError> {
        tokio::task::yield_now().await;
        let rows = self.rows.lock().unwrap();
        let response = |query: &RowQuery| match rows.rows.get(&query.key) {
            None => RowResponse::Absent,
            Some((version, text)) => RowResponse::Found {
                version: *version,
                text: text.clone(),
            },
        };
        Ok(queries.iter().map(response).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        tokio::task::yield_now().await;
        let no_answer = Err(PlatformError::NoResponse {
            timeout_ms: Millis(1),
        });
        let mut rows = self.rows.lock().unwrap();
        let delayed = std::mem::take(&mut rows.delayed);
        let call_outcome = rows.call_outcomes.pop().unwrap_or(CallOutcome::Answered);
        let outcome = match call_outcome {
            CallOutcome::Answered => Ok(rows.apply(transaction)),
            CallOutcome::ResponseLost => {
                rows.apply(transaction);
                no_answer
            }
            CallOutcome::RequestLost => no_answer,
            CallOutcome::Delayed => {
                rows.delayed.push(transaction.clone());
                no_answer
            }
            CallOutcome::Unreachable => Err(PlatformError::Unreachable {
                address: "table".into(),
                reason: "refused".into(),
            }),
        };
        for transaction in delayed {
            rows.apply(&transaction);
        }
        outcome
    }
}

//! [`MemoryTable`]: an in-memory table that injects faults, for the property test of claims.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use cuminlb_platform::{
    CommitOutcome, Expected, PlatformError, RowChange, RowQuery, RowResponse, TableService,
    Transaction,
};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The fault that the table injects into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableFault {
    None,
    /// The connection is refused, so the call never reaches the table.
    Unreachable,
    /// The request is lost, and the caller waits until its timeout.
    RequestLost,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The response is lost and the call takes effect later.
    LateEffect {
        after_ms: u64,
    },
    /// The response is delayed.
    Slow {
        delay_ms: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    last_version: RowVersion,
    rows: BTreeMap<RowKey, (RowVersion, String)>,
    delayed: Vec<(Instant, Transaction)>,
    faults: Vec<TableFault>,
    next_fault: usize,
}

/// The in-memory table: each call consumes the next fault, and calls after the last one succeed.
#[derive(Debug)]
pub struct MemoryTable {
    state: Mutex<State>,
    timeout_ms: Millis,
}

impl MemoryTable {
    pub fn new(faults: Vec<TableFault>) -> Self {
        let state = State {
            faults,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            timeout_ms: Millis(300),
        }
    }

    /// Stops injecting faults; delayed commits still take effect.
    pub fn end_faults(&self) {
        self.lock().faults.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn time_out(&self) -> PlatformError {
        tokio::time::sleep(self.timeout_ms.duration()).await;
        PlatformError::NoResponse {
            timeout_ms: self.timeout_ms,
        }
    }

    fn next_fault(&self) -> TableFault {
        let mut state = self.lock();
        state.apply_due();
        let fault = state.faults.get(state.next_fault).copied();
        state.next_fault += 1;
        fault.unwrap_or(TableFault::None)
    }
}

impl State {
    fn apply_due(&mut self) {
        let now = Instant::now();
        let (due, delayed) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
        self.delayed = delayed;
        let due: Vec<(Instant, Transaction)> = due;
        for (_, transaction) in due {
            let _ = self.commit(&transaction);
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        for check in &transaction.checks {
            let found = self.rows.get(&check.key).map(|(version, _)| *version);
            if Expected::from(found) != check.expected {
                let key = check.key.clone();
                return CommitOutcome::Conflict { key, found };
            }
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

    fn read(&self, queries: &[RowQuery]) -> Vec<RowResponse> {
        let read_one = |query: &RowQuery| match self.rows.get(&query.key) {
            None => RowResponse::Absent,
            Some((version, text)) => RowResponse::Found {
                version: *version,
                text: text.clone(),
            },
        };
        queries.iter().map(read_one).collect()
    }
}

fn unreachable() -> PlatformError {
    PlatformError::Unreachable {
        address: "memory".into(),
        reason: "the connection is refused".into(),
    }
}

#[async_trait]
impl TableService for MemoryTable {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError> {
        match self.next_fault() {
            TableFault::Unreachable => return Err(unreachable()),
            TableFault::RequestLost | TableFault::ResponseLost | TableFault::LateEffect { .. } => {
                return Err(self.time_out().await);
            }
            TableFault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
            TableFault::None => {}
        }
        Ok(self.lock().read(queries))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        // A real table needs time for a commit, and other calls interleave meanwhile.
        tokio::time::sleep(Duration::from_millis(1)).await;
        match self.next_fault() {
            TableFault::None => Ok(self.lock().commit(transaction)),
            TableFault::Unreachable => Err(unreachable()),
            TableFault::RequestLost => Err(self.time_out().await),
            TableFault::ResponseLost => {
                let _ = self.lock().commit(transaction);
                Err(self.time_out().await)
            }
            TableFault::LateEffect { after_ms } => {
                let due = Instant::now() + Duration::from_millis(after_ms);
                self.lock().delayed.push((due, transaction.clone()));
                Err(self.time_out().await)
            }
            TableFault::Slow { delay_ms } => {
                let outcome = self.lock().commit(transaction);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(outcome)
            }
        }
    }
}

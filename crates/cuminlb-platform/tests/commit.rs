//! A transaction whose answers are lost is committed at most once, and its writer is told the
//! truth.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cuminlb_platform::{
    CommitOutcome, Expected, PlatformError, RowAnswer, RowChange, RowQuery, Table, TableError,
    TableService, Transaction,
};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What becomes of one call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost before it takes effect.
    CallLost,
    /// It is answered with a refusal and has no effect.
    Refused,
    /// It does not reach the service.
    Unreachable,
    /// Its answer is lost, and it takes effect only after so many more calls.
    Delayed(usize),
    /// Another writer writes the first row, and then the call takes effect and is answered.
    AfterOther,
    /// The call takes effect, its answer is lost, and another writer writes the first row.
    BeforeOther,
    /// Another writer writes the second row, and the call is lost.
    OtherAndCallLost,
    /// Another writer raises the row that is only checked, and the call is answered.
    CheckedRowRaised,
}

#[derive(Debug, Default)]
struct State {
    fates: VecDeque<Fate>,
    last_version: RowVersion,
    rows: BTreeMap<RowKey, (RowVersion, String)>,
    delayed: Vec<(usize, Transaction)>,
    /// How often a transaction took effect, by its operation.
    effects: BTreeMap<OperationId, u32>,
    others: u32,
}

impl State {
    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        for check in &transaction.checks {
            let found = self.rows.get(&check.key).map(|(version, _)| *version);
            if Expected::from(found) != check.expected {
                let key = check.key.clone();
                return CommitOutcome::Conflict { key, found };
            }
        }
        self.last_version = self.last_version.next();
        for write in &transaction.writes {
            match &write.change {
                RowChange::Put(text) => {
                    let row = (self.last_version, text.clone());
                    self.rows.insert(write.key.clone(), row);
                }
                RowChange::Delete => {
                    self.rows.remove(&write.key);
                }
            }
        }
        *self
            .effects
            .entry(transaction.operation.clone())
            .or_default() += 1;
        CommitOutcome::Committed {
            version: self.last_version,
        }
    }

    fn other_writes(&mut self, name: &str) {
        self.others += 1;
        let operation = format!("other-{}", self.others).parse().unwrap();
        let found = self.rows.get(&key(name)).map(|(version, _)| *version);
        let transaction = Transaction::new(operation)
            .put(key(name), found, &0)
            .unwrap();
        self.commit(&transaction);
    }

    fn release_delayed(&mut self, all: bool) {
        for (calls, _) in &mut self.delayed {
            *calls = calls.saturating_sub(1);
        }
        let due = |entry: &mut (usize, Transaction)| all || entry.0 == 0;
        let due: Vec<_> = self.delayed.extract_if(.., due).collect();
        for (_, transaction) in due {
            self.commit(&transaction);
        }
    }
}

#[derive(Debug, Default)]
struct FakeTable(Mutex<State>);

const fn no_answer() -> PlatformError {
    PlatformError::NoAnswer {
        timeout_ms: Millis(1),
    }
}

#[async_trait]
impl TableService for FakeTable {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowAnswer>, PlatformError> {
        let mut state = self.0.lock().unwrap();
        state.release_delayed(false);
        match state.fates.pop_front() {
            Some(Fate::Answered | Fate::AfterOther | Fate::CheckedRowRaised) | None => {}
            Some(_) => return Err(no_answer()),
        }
        let answer = |query: &RowQuery| match state.rows.get(&query.key) {
            None => RowAnswer::Absent,
            Some((version, text)) => RowAnswer::Found {
                version: *version,
                text: text.clone(),
            },
        };
        Ok(queries.iter().map(answer).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        let mut state = self.0.lock().unwrap();
        state.release_delayed(false);
        match state.fates.pop_front().unwrap_or(Fate::Answered) {
            Fate::Answered => Ok(state.commit(transaction)),
            Fate::AnswerLost => {
                state.commit(transaction);
                Err(no_answer())
            }
            Fate::CallLost => Err(no_answer()),
            Fate::Refused => Err(PlatformError::Refused { status: 503 }),
            Fate::Unreachable => Err(PlatformError::Unreachable {
                address: "table".into(),
                reason: "refused".into(),
            }),
            Fate::Delayed(calls) => {
                state.delayed.push((calls, transaction.clone()));
                Err(no_answer())
            }
            Fate::AfterOther => {
                state.other_writes("first");
                Ok(state.commit(transaction))
            }
            Fate::BeforeOther => {
                state.commit(transaction);
                state.other_writes("first");
                Err(no_answer())
            }
            Fate::OtherAndCallLost => {
                state.other_writes("second");
                Err(no_answer())
            }
            Fate::CheckedRowRaised => {
                state.other_writes("checked");
                Ok(state.commit(transaction))
            }
        }
    }
}

fn key(name: &str) -> RowKey {
    name.parse().unwrap()
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Answered),
        3 => Just(Fate::AnswerLost),
        2 => Just(Fate::CallLost),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Unreachable),
        2 => (1..8_usize).prop_map(Fate::Delayed),
        2 => Just(Fate::AfterOther),
        2 => Just(Fate::BeforeOther),
        1 => Just(Fate::OtherAndCallLost),
        1 => Just(Fate::CheckedRowRaised),
    ]
}

/// Commits one transaction under the fates and checks what its writer is told.
async fn check(fates: Vec<Fate>, rows_exist: bool) -> Result<(), TestCaseError> {
    let fake = Arc::new(FakeTable::default());
    {
        let mut state = fake.0.lock().unwrap();
        state.other_writes("checked");
        if rows_exist {
            state.other_writes("first");
            state.other_writes("second");
        }
        state.fates = fates.into();
    }
    let table = Table::new(Arc::clone(&fake) as Arc<dyn TableService>);
    let version = |name: &str| {
        let state = fake.0.lock().unwrap();
        state.rows.get(&key(name)).map(|(version, _)| *version)
    };
    let transaction = Transaction::new(table.new_operation())
        .check(key("checked"), version("checked"))
        .put(key("first"), version("first"), &1)
        .unwrap()
        .put(key("second"), version("second"), &2)
        .unwrap();
    let told = table.commit(&transaction, Duration::from_secs(2)).await;
    let mut state = fake.0.lock().unwrap();
    let effects = |state: &State| {
        let found = state.effects.get(&transaction.operation);
        found.copied().unwrap_or_default()
    };
    let effects_then = effects(&state);
    state.release_delayed(true);
    let effects_at_last = effects(&state);
    prop_assert!(effects_at_last <= 1, "took effect {effects_at_last} times");
    match told {
        Ok(CommitOutcome::Committed { .. }) => prop_assert_eq!(effects_then, 1),
        Ok(CommitOutcome::Conflict { .. }) => prop_assert_eq!(effects_at_last, 0),
        Err(TableError::NotReached(_)) => prop_assert_eq!(effects_at_last, 0),
        Err(TableError::Unknown { .. }) => {}
        Err(other) => prop_assert!(false, "unexpected: {other}"),
    }
    Ok(())
}

fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn a_writer_is_told_the_truth() {
    let cases = (proptest::collection::vec(fate(), 0..12), any::<bool>());
    runner()
        .run(&cases, |(fates, rows_exist)| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            runtime.block_on(check(fates, rows_exist))
        })
        .unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_by_reading_back() {
    let fake = Arc::new(FakeTable::default());
    fake.0.lock().unwrap().fates = [Fate::AnswerLost, Fate::Answered].into();
    let table = Table::new(Arc::clone(&fake) as Arc<dyn TableService>);
    let put = table.put(key("first"), None, &1, Duration::from_secs(2));
    let version = RowVersion(1);
    assert_eq!(put.await, Ok(CommitOutcome::Committed { version }));
}

#[tokio::test(start_paused = true)]
async fn an_own_write_that_others_have_replaced_is_no_conflict() {
    let fake = Arc::new(FakeTable::default());
    fake.0.lock().unwrap().fates = [Fate::BeforeOther, Fate::CallLost].into();
    let table = Table::new(Arc::clone(&fake) as Arc<dyn TableService>);
    let put = table.put(key("first"), None, &1, Duration::from_secs(2));
    assert!(matches!(put.await, Err(TableError::Unknown { .. })));
}

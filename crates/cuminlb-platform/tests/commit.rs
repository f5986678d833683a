//! Guards against double commits and wrong results when calls or responses to the table are lost.
//!
//! A fake table loses, delays and refuses calls, and other writers change rows in between. Whatever
//! it does, a transaction must take effect at most once, and the result that its writer gets must
//! match what happened.
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
    CommitOutcome, Expected, PlatformError, RowChange, RowQuery, RowResponse, TableClient,
    TableError, TableService, Transaction,
};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What the fake table does with one call.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The call takes effect and its response arrives.
    Delivered,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The call is lost and has no effect.
    RequestLost,
    /// The table responds with an error status; the call has no effect.
    Refused,
    /// The connection fails; the call has no effect.
    Unreachable,
    /// The response is lost, and the call takes effect only after this many further calls.
    Delayed(usize),
    /// Another writer writes the first row, then the call is processed and its response arrives.
    AfterOtherWrite,
    /// The call is processed, its response is lost, and then another writer writes the first row.
    BeforeOtherWrite,
    /// Another writer writes the second row, and the call is lost without effect.
    LostAfterOtherWrite,
    /// Another writer writes the row that is only checked, then the call is processed and its
    /// response arrives.
    AfterCheckedRowChange,
}

#[derive(Debug, Default)]
struct State {
    /// What happens to the next calls; when it is empty, calls are delivered.
    deliveries: VecDeque<Delivery>,
    last_version: RowVersion,
    rows: BTreeMap<RowKey, (RowVersion, String)>,
    /// Transactions that take effect after this many more calls.
    delayed: Vec<(usize, Transaction)>,
    /// How often each operation took effect.
    effects: BTreeMap<OperationId, u32>,
    other_write_count: u32,
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

    fn write_as_other(&mut self, name: &str) {
        self.other_write_count += 1;
        let operation = format!("other-{}", self.other_write_count).parse().unwrap();
        let found = self.rows.get(&key(name)).map(|(version, _)| *version);
        let transaction = Transaction::new(operation)
            .put(key(name), found, &0)
            .unwrap();
        self.commit(&transaction);
    }

    fn apply_delayed(&mut self, all: bool) {
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

const fn no_response() -> PlatformError {
    PlatformError::NoResponse {
        timeout_ms: Millis(1),
    }
}

#[async_trait]
impl TableService for FakeTable {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError> {
        let mut state = self.0.lock().unwrap();
        state.apply_delayed(false);
        match state.deliveries.pop_front() {
            Some(
                Delivery::Delivered | Delivery::AfterOtherWrite | Delivery::AfterCheckedRowChange,
            )
            | None => {}
            Some(_) => return Err(no_response()),
        }
        let respond = |query: &RowQuery| match state.rows.get(&query.key) {
            None => RowResponse::Absent,
            Some((version, text)) => RowResponse::Found {
                version: *version,
                text: text.clone(),
            },
        };
        Ok(queries.iter().map(respond).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        let mut state = self.0.lock().unwrap();
        state.apply_delayed(false);
        match state.deliveries.pop_front().unwrap_or(Delivery::Delivered) {
            Delivery::Delivered => Ok(state.commit(transaction)),
            Delivery::ResponseLost => {
                state.commit(transaction);
                Err(no_response())
            }
            Delivery::RequestLost => Err(no_response()),
            Delivery::Refused => Err(PlatformError::Refused { status: 503 }),
            Delivery::Unreachable => Err(PlatformError::Unreachable {
                address: "table".into(),
                reason: "refused".into(),
            }),
            Delivery::Delayed(calls) => {
                state.delayed.push((calls, transaction.clone()));
                Err(no_response())
            }
            Delivery::AfterOtherWrite => {
                state.write_as_other("first");
                Ok(state.commit(transaction))
            }
            Delivery::BeforeOtherWrite => {
                state.commit(transaction);
                state.write_as_other("first");
                Err(no_response())
            }
            Delivery::LostAfterOtherWrite => {
                state.write_as_other("second");
                Err(no_response())
            }
            Delivery::AfterCheckedRowChange => {
                state.write_as_other("checked");
                Ok(state.commit(transaction))
            }
        }
    }
}

fn key(name: &str) -> RowKey {
    name.parse().unwrap()
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        3 => Just(Delivery::Delivered),
        3 => Just(Delivery::ResponseLost),
        2 => Just(Delivery::RequestLost),
        1 => Just(Delivery::Refused),
        1 => Just(Delivery::Unreachable),
        2 => (1..8_usize).prop_map(Delivery::Delayed),
        2 => Just(Delivery::AfterOtherWrite),
        2 => Just(Delivery::BeforeOtherWrite),
        1 => Just(Delivery::LostAfterOtherWrite),
        1 => Just(Delivery::AfterCheckedRowChange),
    ]
}

/// Commits one transaction with the given deliveries and checks the result against the
/// number of times that it took effect, also after all delayed calls have been applied.
async fn check_commit(deliveries: Vec<Delivery>, rows_exist: bool) -> Result<(), TestCaseError> {
    let fake = Arc::new(FakeTable::default());
    {
        let mut state = fake.0.lock().unwrap();
        state.write_as_other("checked");
        if rows_exist {
            state.write_as_other("first");
            state.write_as_other("second");
        }
        state.deliveries = deliveries.into();
    }
    let table = TableClient::new(Arc::clone(&fake) as Arc<dyn TableService>);
    let version = |name: &str| {
        let state = fake.0.lock().unwrap();
        state.rows.get(&key(name)).map(|(version, _)| *version)
    };
    let transaction = Transaction::new(table.new_operation_id())
        .check(key("checked"), version("checked"))
        .put(key("first"), version("first"), &1)
        .unwrap()
        .put(key("second"), version("second"), &2)
        .unwrap();
    let result = table.commit(&transaction, Duration::from_secs(2)).await;
    let mut state = fake.0.lock().unwrap();
    let effects = |state: &State| {
        let found = state.effects.get(&transaction.operation);
        found.copied().unwrap_or_default()
    };
    let effects_at_return = effects(&state);
    state.apply_delayed(true);
    let final_effects = effects(&state);
    prop_assert!(final_effects <= 1, "took effect {final_effects} times");
    match result {
        Ok(CommitOutcome::Committed { .. }) => prop_assert_eq!(effects_at_return, 1),
        Ok(CommitOutcome::Conflict { .. }) => prop_assert_eq!(final_effects, 0),
        Err(TableError::NotReached(_)) => prop_assert_eq!(final_effects, 0),
        Err(TableError::Unknown { .. }) => {}
        Err(other) => prop_assert!(false, "unexpected error: {other}"),
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
fn commit_result_matches_the_effects() {
    let cases = (proptest::collection::vec(delivery(), 0..12), any::<bool>());
    runner()
        .run(&cases, |(deliveries, rows_exist)| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            runtime.block_on(check_commit(deliveries, rows_exist))
        })
        .unwrap();
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_by_reading_back() {
    let fake = Arc::new(FakeTable::default());
    fake.0.lock().unwrap().deliveries = [Delivery::ResponseLost, Delivery::Delivered].into();
    let table = TableClient::new(Arc::clone(&fake) as Arc<dyn TableService>);
    let put = table.put(key("first"), None, &1, Duration::from_secs(2));
    let version = RowVersion(1);
    assert_eq!(put.await, Ok(CommitOutcome::Committed { version }));
}

#[tokio::test(start_paused = true)]
async fn overwritten_own_write_is_reported_as_unknown() {
    let fake = Arc::new(FakeTable::default());
    fake.0.lock().unwrap().deliveries = [Delivery::BeforeOtherWrite, Delivery::RequestLost].into();
    let table = TableClient::new(Arc::clone(&fake) as Arc<dyn TableService>);
    let put = table.put(key("first"), None, &1, Duration::from_secs(2));
    assert!(matches!(put.await, Err(TableError::Unknown { .. })));
}

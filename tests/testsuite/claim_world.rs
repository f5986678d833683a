//! In-memory simulation of nodes, callers and an upstream for the property test of claims.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb::serving::claims::{
    ClaimClient, ClaimOutcome, ClaimRequest, ClaimTasks, CompleteResponse,
};
use cuminlb_fleet::rows::{ClaimName, ClaimRow, ClaimState};
use cuminlb_platform::TableClient;
use cuminlb_routing::{Refusal, RefusalKind, content_digest};
use cuminlb_types::prelude::*;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use crate::memory_table::{MemoryTable, TableFault};

pub const NODE_COUNT: usize = 3;
pub const KEY_COUNT: usize = 2;

/// What happens to one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    Answered,
    /// The upstream executes the call and its response is lost.
    ResponseLost,
    /// The upstream is unreachable.
    NotSent,
    /// The caller disconnects after this time if the request still waits for its claim.
    CallerLeaves {
        after_ms: u64,
    },
    CrashBeforeClaim,
    CrashAfterClaim,
    CrashAfterSend,
    CrashBeforeRecord,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub node: usize,
    pub key: usize,
    pub start_ms: u64,
    pub scenario: Scenario,
}

pub struct RunningNode {
    pub incarnation: u64,
    pub claims: ClaimClient,
    _tasks: ClaimTasks,
}

pub struct Simulation {
    pub table_service: Arc<MemoryTable>,
    table: TableClient,
    pub nodes: RefCell<Vec<RunningNode>>,
    pub executions: RefCell<HashMap<usize, Vec<String>>>,
    pub killed: RefCell<HashSet<String>>,
    next_request: RefCell<u32>,
}

/// The result of an attempt; `None` if its node crashed.
pub type AttemptResult = Option<Result<CompleteResponse, Refusal>>;

impl Simulation {
    pub fn new(faults: Vec<TableFault>) -> Self {
        let table_service = Arc::new(MemoryTable::new(faults));
        let table = TableClient::new(Arc::<MemoryTable>::clone(&table_service));
        let nodes = (0..NODE_COUNT).map(|_| start_node(&table, 1)).collect();
        Self {
            table_service,
            table,
            nodes: RefCell::new(nodes),
            executions: RefCell::default(),
            killed: RefCell::default(),
            next_request: RefCell::new(0),
        }
    }

    fn new_request(&self) -> String {
        *self.next_request.borrow_mut() += 1;
        format!("request-{}", self.next_request.borrow())
    }

    /// Simulates a crash of a node: its tasks stop where they are, no destructor of its claims
    /// runs, and a new incarnation starts.
    fn kill(&self, node: usize) {
        let mut nodes = self.nodes.borrow_mut();
        let incarnation = nodes[node].incarnation;
        let killed_node = format!("node-{node}/{incarnation}");
        self.killed.borrow_mut().insert(killed_node);
        nodes[node] = start_node(&self.table, incarnation + 1);
    }

    fn execute(&self, key: usize, request: &str) -> CompleteResponse {
        let mut executions = self.executions.borrow_mut();
        executions.entry(key).or_default().push(request.to_owned());
        CompleteResponse {
            status: StatusCode::CREATED,
            headers: HeaderMap::new(),
            body: request.to_owned().into(),
        }
    }

    pub async fn run(&self, attempt: Attempt) -> (String, usize, AttemptResult) {
        tokio::time::sleep(Duration::from_millis(attempt.start_ms)).await;
        let request = self.new_request();
        let result = self.send_request(attempt, &request).await;
        (request, attempt.key, result)
    }

    async fn send_request(&self, attempt: Attempt, request: &str) -> AttemptResult {
        let (claims, incarnation) = {
            let nodes = self.nodes.borrow();
            let node = &nodes[attempt.node];
            (node.claims.clone(), node.incarnation)
        };
        let claim_request = claim_request(attempt, incarnation, request);
        let deadline = Instant::now() + Duration::from_secs(20);
        let acquire = claims.acquire(claim_request, deadline);
        let acquired = match attempt.scenario {
            Scenario::CrashBeforeClaim => {
                // The claim request has reached the writer task when the node crashes.
                let _ = tokio::time::timeout(Duration::from_millis(1), acquire).await;
                self.kill(attempt.node);
                return None;
            }
            Scenario::CallerLeaves { after_ms } => {
                let in_time = tokio::time::timeout(Duration::from_millis(after_ms), acquire).await;
                match in_time {
                    Ok(acquired) => acquired,
                    Err(_) => return Some(Err(Refusal::not_run(RefusalKind::ClaimUnavailable))),
                }
            }
            _ => acquire.await,
        };
        let mut claim = match acquired {
            Ok(ClaimOutcome::Held(claim)) => claim,
            Ok(ClaimOutcome::Recorded(response)) => return Some(Ok(response)),
            Ok(ClaimOutcome::Open(_)) => {
                return Some(Err(Refusal::unknown(RefusalKind::ClaimedElsewhere)));
            }
            Err(refusal) => return Some(Err(refusal)),
        };
        if self.was_killed(attempt.node, incarnation) {
            // Another attempt crashed this node meanwhile.
            std::mem::forget(claim);
            return None;
        }
        if attempt.scenario == Scenario::CrashAfterClaim {
            self.kill(attempt.node);
            std::mem::forget(claim);
            return None;
        }
        claim.mark_sent();
        let response = match attempt.scenario {
            Scenario::NotSent => {
                claim.mark_not_run();
                Err(Refusal::not_run(RefusalKind::Draining))
            }
            Scenario::ResponseLost => {
                self.execute(attempt.key, request);
                tokio::time::sleep(Duration::from_millis(500)).await;
                Err(Refusal::unknown(RefusalKind::OutcomeUnknown))
            }
            Scenario::CrashAfterSend => {
                self.kill(attempt.node);
                self.execute(attempt.key, request);
                std::mem::forget(claim);
                return None;
            }
            _ => {
                let response = self.execute(attempt.key, request);
                tokio::time::sleep(Duration::from_millis(50)).await;
                Ok(response)
            }
        };
        if attempt.scenario == Scenario::CrashBeforeRecord
            || self.was_killed(attempt.node, incarnation)
        {
            if attempt.scenario == Scenario::CrashBeforeRecord
                && !self.was_killed(attempt.node, incarnation)
            {
                self.kill(attempt.node);
            }
            std::mem::forget(claim);
            return None;
        }
        claim.record(&response).await;
        Some(response)
    }

    fn was_killed(&self, node: usize, incarnation: u64) -> bool {
        self.nodes.borrow()[node].incarnation != incarnation
    }
}

fn start_node(table: &TableClient, incarnation: u64) -> RunningNode {
    let (claims, tasks) = ClaimClient::start(table);
    RunningNode {
        incarnation,
        claims,
        _tasks: tasks,
    }
}

pub fn claim_request(attempt: Attempt, incarnation: u64, request: &str) -> ClaimRequest {
    let key = format!("key-{}", attempt.key);
    let now_ms = UnixMillis::now();
    let row = ClaimRow {
        team: "suva-rowing".parse().unwrap(),
        service: "boat-desk".parse().unwrap(),
        sender: format!("node-{}", attempt.node).parse().unwrap(),
        incarnation: Incarnation(incarnation),
        request: request.parse().unwrap(),
        content: content_digest("POST", "/reservations", key.as_bytes()),
        claimed_at_ms: now_ms,
        running_until_ms: UnixMillis(now_ms.get() + 3_600_000),
        state: ClaimState::Running,
    };
    ClaimRequest::new(&ClaimName::Key(key.parse().unwrap()), row)
}

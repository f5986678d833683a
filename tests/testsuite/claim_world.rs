//! The nodes, callers and upstream of the property tests of claims, in memory.

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

pub const NODES: usize = 3;
pub const KEYS: usize = 2;

/// What becomes of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// The upstream executes the call and its answer is lost.
    AnswerLost,
    /// The upstream can't be reached.
    NotSent,
    /// The caller's request is dropped while it waits for the claim.
    GivesUp {
        after_ms: u64,
    },
    DiesBeforeClaim,
    DiesWithClaim,
    DiesAfterSend,
    DiesBeforeRecord,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub node: usize,
    pub key: usize,
    pub start_ms: u64,
    pub fate: Fate,
}

pub struct LiveNode {
    pub incarnation: u64,
    pub claims: ClaimClient,
    _tasks: ClaimTasks,
}

pub struct World {
    pub service: Arc<MemoryTable>,
    table: TableClient,
    pub nodes: RefCell<Vec<LiveNode>>,
    pub executions: RefCell<HashMap<usize, Vec<String>>>,
    pub dead: RefCell<HashSet<String>>,
    next_request: RefCell<u32>,
}

/// What an attempt ended with; `None` where its node died.
pub type End = Option<Result<CompleteResponse, Refusal>>;

impl World {
    pub fn new(faults: Vec<TableFault>) -> Self {
        let service = Arc::new(MemoryTable::new(faults));
        let table = TableClient::new(Arc::<MemoryTable>::clone(&service));
        let nodes = (0..NODES).map(|_| start_node(&table, 1)).collect();
        Self {
            service,
            table,
            nodes: RefCell::new(nodes),
            executions: RefCell::default(),
            dead: RefCell::default(),
            next_request: RefCell::new(0),
        }
    }

    fn new_request(&self) -> String {
        *self.next_request.borrow_mut() += 1;
        format!("request-{}", self.next_request.borrow())
    }

    /// Ends the process of a node: its tasks stop where they are, and none of its drops run.
    fn kill(&self, node: usize) {
        let mut nodes = self.nodes.borrow_mut();
        let incarnation = nodes[node].incarnation;
        let dead_node = format!("node-{node}/{incarnation}");
        self.dead.borrow_mut().insert(dead_node);
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

    pub async fn run(&self, attempt: Attempt) -> (String, usize, End) {
        tokio::time::sleep(Duration::from_millis(attempt.start_ms)).await;
        let request = self.new_request();
        let end = self.run_request(attempt, &request).await;
        (request, attempt.key, end)
    }

    async fn run_request(&self, attempt: Attempt, request: &str) -> End {
        let (claims, incarnation) = {
            let nodes = self.nodes.borrow();
            let node = &nodes[attempt.node];
            (node.claims.clone(), node.incarnation)
        };
        let wanted = wanted(attempt, incarnation, request);
        let deadline = Instant::now() + Duration::from_secs(20);
        let acquire = claims.acquire(wanted, deadline);
        let acquired = match attempt.fate {
            Fate::DiesBeforeClaim => {
                // The order is with the writer when the node dies.
                let _ = tokio::time::timeout(Duration::from_millis(1), acquire).await;
                self.kill(attempt.node);
                return None;
            }
            Fate::GivesUp { after_ms } => {
                let waited = tokio::time::timeout(Duration::from_millis(after_ms), acquire).await;
                match waited {
                    Ok(acquired) => acquired,
                    Err(_) => return Some(Err(Refusal::not_run(RefusalKind::ClaimUnavailable))),
                }
            }
            _ => acquire.await,
        };
        let mut claim = match acquired {
            Ok(ClaimOutcome::Held(claim)) => claim,
            Ok(ClaimOutcome::Recorded(answer)) => return Some(Ok(answer)),
            Ok(ClaimOutcome::Open(_)) => {
                return Some(Err(Refusal::unknown(RefusalKind::ClaimedElsewhere)));
            }
            Err(refusal) => return Some(Err(refusal)),
        };
        if self.died(attempt.node, incarnation) {
            // Another attempt killed this process meanwhile.
            std::mem::forget(claim);
            return None;
        }
        if attempt.fate == Fate::DiesWithClaim {
            self.kill(attempt.node);
            std::mem::forget(claim);
            return None;
        }
        claim.mark_sent();
        let answer = match attempt.fate {
            Fate::NotSent => {
                claim.mark_not_run();
                Err(Refusal::not_run(RefusalKind::Draining))
            }
            Fate::AnswerLost => {
                self.execute(attempt.key, request);
                tokio::time::sleep(Duration::from_millis(500)).await;
                Err(Refusal::unknown(RefusalKind::OutcomeUnknown))
            }
            Fate::DiesAfterSend => {
                self.kill(attempt.node);
                self.execute(attempt.key, request);
                std::mem::forget(claim);
                return None;
            }
            _ => {
                let answer = self.execute(attempt.key, request);
                tokio::time::sleep(Duration::from_millis(50)).await;
                Ok(answer)
            }
        };
        if attempt.fate == Fate::DiesBeforeRecord || self.died(attempt.node, incarnation) {
            if attempt.fate == Fate::DiesBeforeRecord && !self.died(attempt.node, incarnation) {
                self.kill(attempt.node);
            }
            std::mem::forget(claim);
            return None;
        }
        claim.record(&answer).await;
        Some(answer)
    }

    fn died(&self, node: usize, incarnation: u64) -> bool {
        self.nodes.borrow()[node].incarnation != incarnation
    }
}

fn start_node(table: &TableClient, incarnation: u64) -> LiveNode {
    let (claims, tasks) = ClaimClient::start(table);
    LiveNode {
        incarnation,
        claims,
        _tasks: tasks,
    }
}

pub fn wanted(attempt: Attempt, incarnation: u64, request: &str) -> ClaimRequest {
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

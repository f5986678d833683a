//! [`SimulatedService`]: nodes before group heads that crash, in steps of simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_routing::{CrashBoard, CrashCandidates, CrashCause, CrashVerdict};
use cuminlb_types::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::support::{crash, node, part, request};

/// One step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// The time between two exchanges of a node with its relay, or of a relay with the others.
const EXCHANGE_PERIOD_STEPS: u64 = 20;

/// The time from sending a request until its response begins, and until it has proved to run.
const BEGIN_AFTER: Duration = Duration::from_millis(200);
const SUCCESS_AFTER: Duration = Duration::from_millis(300);

/// The number of teams, each of which has a part of its own in its prompts.
const TEAMS: usize = 10;

/// The number of nodes that relay to the others.
const RELAYS: usize = 3;

/// The part that crashes heads.
pub const DEADLY_PART: &str = "deadly";

/// The load and the faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub heads: usize,
    /// How long a head that crashed is down.
    pub downtime: Duration,
    /// The requests per second.
    pub rate: f64,
    /// The share of requests with the deadly part, between two times from the start.
    pub deadly_share: f64,
    pub deadly_from: Duration,
    pub deadly_until: Duration,
    /// The time between two heads that end for another reason, and until when they do.
    pub kill_period: Option<Duration>,
    pub kill_until: Duration,
    /// How many heads end at the same moment.
    pub kill_count: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 9,
            heads: 6,
            downtime: Duration::from_millis(3_000),
            rate: 30.0,
            deadly_share: 0.0,
            deadly_from: Duration::ZERO,
            deadly_until: Duration::ZERO,
            kill_period: None,
            kill_until: Duration::ZERO,
            kill_count: 1,
        }
    }
}

/// What became of the requests without the deadly part in a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub sent: u32,
    pub kept_back: u32,
}

#[derive(Debug)]
struct InFlight {
    node: usize,
    head: usize,
    causes: Vec<CrashCause>,
    is_deadly: bool,
    sent_at: Instant,
    has_succeeded: bool,
}

/// A run of a scenario.
#[derive(Debug)]
pub struct SimulatedService {
    scenario: Scenario,
    start: Instant,
    now: Instant,
    step: u64,
    rng: StdRng,
    ids: Vec<NodeId>,
    boards: Vec<CrashBoard>,
    down_until: Vec<Instant>,
    in_flight: Vec<InFlight>,
    crash_count: u64,
    /// The times of crashes by the deadly part, and those at which a request with it was sent.
    pub deadly_crashes: Vec<Duration>,
    pub deadly_sends: Vec<Duration>,
    /// The outcomes of sound requests by second.
    pub sound: BTreeMap<u64, Outcomes>,
}

impl SimulatedService {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        Self {
            scenario,
            start,
            now: start,
            step: 0,
            rng: StdRng::seed_from_u64(seed),
            ids: (0..scenario.nodes).map(node).collect(),
            boards: (0..scenario.nodes).map(|_| CrashBoard::default()).collect(),
            down_until: vec![start; scenario.heads],
            in_flight: Vec::new(),
            crash_count: 0,
            deadly_crashes: Vec::new(),
            deadly_sends: Vec::new(),
            sound: BTreeMap::new(),
        }
    }

    /// Plays a time.
    pub fn run(mut self, time: Duration) -> Self {
        while self.now < self.start + time {
            self.now += STEP;
            self.step += 1;
            self.progress();
            self.kill_heads();
            if self
                .rng
                .random_bool(self.scenario.rate * STEP.as_secs_f64())
            {
                self.send_request();
            }
            if self.step.is_multiple_of(EXCHANGE_PERIOD_STEPS) {
                self.exchange();
            }
        }
        self
    }

    /// Returns the share of sound requests that were sent, from one second until another.
    pub fn sound_share_sent(&self, seconds: std::ops::Range<u64>) -> f64 {
        let outcomes = self.sound.range(seconds).map(|(_, outcomes)| *outcomes);
        let (mut sent, mut all) = (0, 0);
        for outcome in outcomes {
            sent += outcome.sent;
            all += outcome.sent + outcome.kept_back;
        }
        f64::from(sent) / f64::from(all.max(1))
    }

    /// Lets requests begin, succeed and crash their heads.
    fn progress(&mut self) {
        let mut crashed = Vec::new();
        for request in &mut self.in_flight {
            let age = self.now - request.sent_at;
            if age < SUCCESS_AFTER || request.has_succeeded {
                continue;
            }
            if request.is_deadly {
                crashed.push(request.head);
            } else {
                request.has_succeeded = true;
                self.boards[request.node].record_success(&request.causes, self.now);
            }
        }
        for head in crashed {
            self.deadly_crashes.push(self.now - self.start);
            self.crash(head);
        }
        self.in_flight.retain(|request| !request.has_succeeded);
    }

    /// Ends a head; each node learns what its own requests there were doing.
    fn crash(&mut self, head: usize) {
        if self.down_until[head] > self.now {
            return;
        }
        self.down_until[head] = self.now + self.scenario.downtime;
        self.crash_count += 1;
        let name = format!("h{head}-{}", self.crash_count);
        for (node, board) in self.boards.iter().enumerate() {
            let mut candidates = CrashCandidates::default();
            let lost = self.in_flight.iter();
            for request in lost.filter(|it| it.node == node && it.head == head) {
                let has_begun = self.now - request.sent_at >= BEGIN_AFTER;
                let kind = if has_begun {
                    &mut candidates.begun
                } else {
                    &mut candidates.waiting
                };
                kind.extend(request.causes.iter().cloned());
            }
            board.record_crash(crash(&name, self.now, candidates));
        }
        self.in_flight.retain(|request| request.head != head);
    }

    fn kill_heads(&mut self) {
        let elapsed = self.now - self.start;
        let Some(period) = self.scenario.kill_period else {
            return;
        };
        let is_due = elapsed.as_millis().is_multiple_of(period.as_millis());
        if !is_due || elapsed > self.scenario.kill_until {
            return;
        }
        let up = (0..self.scenario.heads).filter(|head| self.down_until[*head] <= self.now);
        for head in up.sample(&mut self.rng, self.scenario.kill_count) {
            self.crash(head);
        }
    }

    fn send_request(&mut self) {
        let elapsed = self.now - self.start;
        let scenario = self.scenario;
        let is_deadly_time = (scenario.deadly_from..scenario.deadly_until).contains(&elapsed);
        let is_deadly = is_deadly_time && self.rng.random_bool(scenario.deadly_share);
        let team = self.rng.random_range(0..TEAMS);
        let mut causes = vec![part("first"), part(&format!("team{team}"))];
        if is_deadly {
            causes.push(part(DEADLY_PART));
        }
        causes.push(request(&format!("r{}", self.step)));
        let node = self.rng.random_range(0..scenario.nodes);
        let verdict =
            self.boards[node].verdict(&causes, &self.ids[node], self.ids.iter(), self.now);
        let is_kept_back = matches!(verdict, CrashVerdict::Quarantined { .. });
        if !is_deadly {
            let outcomes = self.sound.entry(elapsed.as_secs()).or_default();
            outcomes.kept_back += u32::from(is_kept_back);
            outcomes.sent += u32::from(!is_kept_back);
        }
        let up: Vec<usize> = (0..scenario.heads)
            .filter(|head| self.down_until[*head] <= self.now)
            .collect();
        let Some(&head) = up.choose(&mut self.rng) else {
            return;
        };
        if is_kept_back {
            return;
        }
        if is_deadly {
            self.deadly_sends.push(elapsed);
        }
        self.in_flight.push(InFlight {
            node,
            head,
            causes,
            is_deadly,
            sent_at: self.now,
            has_succeeded: false,
        });
    }

    /// Lets each node exchange with its relay, and the relays with each other.
    fn exchange(&self) {
        for node in 0..self.boards.len() {
            for relay in 0..RELAYS.min(self.boards.len()) {
                if relay != node && (node < RELAYS || node % RELAYS == relay) {
                    let report = self.boards[node].report(self.now);
                    self.boards[relay].merge(&report, self.now);
                    let told = self.boards[relay].report(self.now);
                    self.boards[node].merge(&told, self.now);
                }
            }
        }
    }
}

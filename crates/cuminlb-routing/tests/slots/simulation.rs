//! A simulation of one group, its owner and the nodes that request its slots.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_routing::{
    HeldRange, LoadReport, ReleaseReason, SlotHolder, SlotId, SlotLedger, SlotRequestState,
    SlotTiming,
};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::node_state::NodeState;
use crate::op::{MAX_REQUEST_MS, MAX_SEND_MS, NODES, Op};
use crate::request::Request;

const TIMING: SlotTiming = SlotTiming {
    max_send_ms: Millis(MAX_SEND_MS),
    max_report_lag_ms: Millis(500),
    holder_timeout_ms: Millis(6_000),
    max_cancel_ms: Millis(1_000),
    max_request_ms: Millis(MAX_REQUEST_MS),
};

/// The time after which the requests of all earlier grants show in a report.
const RECOVERY_MS: u64 = MAX_SEND_MS + 500;

/// The number of slots while the engine is warm.
const WARM_LIMIT: u32 = 5;

/// The number of slots during a cold start.
const COLD_LIMIT: u32 = 2;

/// The nodes, the network, the engine and the owner of one group, with a simulated clock.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) started_at: Instant,
    pub(crate) now_ms: u64,
    pub(crate) ledger: SlotLedger,
    pub(crate) fencing: FencingNumber,
    pub(crate) epoch: Epoch,
    pub(crate) is_warm: bool,
    pub(crate) nodes: Vec<NodeState>,
    pub(crate) requests: Vec<Request>,
    pub(crate) ended: Vec<Request>,
    /// The latest number of requests that exceeded the limit, and that limit.
    pub limit_violation: Option<(usize, u32)>,
}

impl Simulation {
    pub fn new() -> Self {
        let started_at = Instant::now() + Duration::from_secs(3_600);
        let (fencing, epoch) = (FencingNumber(1), Epoch(1));
        let node_state = NodeState {
            incarnation: 1,
            last_ticket: SlotTicket(0),
            releases_dropped: false,
            latest_slot: None,
            waiting: Vec::new(),
        };
        let mut simulation = Self {
            started_at,
            now_ms: 0,
            ledger: SlotLedger::new(fencing, epoch, TIMING, started_at),
            fencing,
            epoch,
            is_warm: true,
            nodes: vec![node_state; NODES],
            requests: Vec::new(),
            ended: Vec::new(),
            limit_violation: None,
        };
        // The first owner also has to recover before it grants slots.
        simulation.apply(Op::Advance { by_ms: RECOVERY_MS });
        simulation.apply(Op::Report { lag_ms: 0 });
        simulation
    }

    pub fn limit(&self) -> usize {
        self.limit_count().get() as usize
    }

    /// Returns the number of requests that run or may still start.
    pub fn outstanding(&self) -> usize {
        self.requests.len()
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::RequestSlot {
                node,
                send_ms,
                run_ms,
            } => self.request_slot(node, send_ms, run_ms),
            Op::RequestSlotWithRetry {
                node,
                send_ms,
                run_ms,
            } => self.request_slot_with_retry(node, send_ms, run_ms),
            Op::RetryDenied { node } => self.retry_denied(node),
            Op::RequestAndCancel {
                node,
                is_release_dropped,
            } => self.request_and_cancel(node, is_release_dropped),
            Op::RepeatRequest { node } => self.repeat_request(node),
            Op::Abandon {
                node,
                engine_runs_on_ms,
            } => self.abandon(node, engine_runs_on_ms),
            Op::Advance { by_ms } => self.advance(by_ms),
            Op::Renew { node } => self.renew(node),
            Op::Report { lag_ms } => self.report(lag_ms),
            Op::SetReleasesDropped { node, dropped } => self.nodes[node].releases_dropped = dropped,
            Op::Restart { node } => self.restart(node),
            Op::ChangeOwner => self.change_owner(self.fencing.next()),
            Op::HandOver => self.hand_over(),
            Op::ReformGroup => self.change_owner(FencingNumber(1)),
            Op::ChangeEpoch => {
                self.epoch = self.epoch.next();
                self.ledger.set_epoch(self.epoch);
            }
            Op::SetWarm { is_warm } => self.is_warm = is_warm,
        }
    }

    /// Stops all faults and runs until every request has ended, with regular reports and renewals.
    pub fn settle(&mut self) {
        for node_state in &mut self.nodes {
            node_state.releases_dropped = false;
            node_state.waiting.clear();
        }
        for _ in 0..30 {
            self.advance(1_000);
            self.report(0);
            (0..NODES).for_each(|node| self.renew(node));
        }
    }

    /// Returns the number of slots that the owner grants in succession.
    pub fn grantable(&mut self) -> usize {
        let before = self.requests.len();
        for _ in 0..=self.limit() {
            self.request_slot(0, 0, 10);
        }
        self.requests.len() - before
    }

    fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        let now_ms = self.now_ms;
        let has_ended = |request: &mut Request| request.ends_at_ms <= now_ms;
        let newly_ended: Vec<Request> = self.requests.extract_if(.., has_ended).collect();
        for request in newly_ended {
            if request.is_held {
                self.release(request.node, &request.slot, ReleaseReason::Finished);
            }
            self.ended.push(request);
        }
    }

    pub(crate) fn release(&mut self, node: usize, slot: &SlotId, reason: ReleaseReason) {
        if !self.nodes[node].releases_dropped {
            self.ledger.release(slot, reason, self.now());
        }
    }

    fn renew(&mut self, node: usize) {
        let held = self
            .requests
            .iter()
            .filter(|request| request.node == node && request.is_held)
            .map(|request| (request.slot.ticket, SlotRequestState::Held));
        let pending = self.nodes[node].waiting.iter();
        let pending = pending.map(|(ticket, _, _)| (*ticket, SlotRequestState::Pending));
        let tickets: BTreeMap<SlotTicket, SlotRequestState> = pending.chain(held).collect();
        let holder = self.holder(node);
        let last_ticket = self.nodes[node].last_ticket;
        for range in HeldRange::split(&tickets, last_ticket) {
            self.ledger.reconcile(&holder, &range, self.now());
        }
    }

    fn report(&mut self, lag_ms: u64) {
        let counted_at_ms = self.now_ms.saturating_sub(lag_ms);
        let was_running = |request: &&Request| {
            request.starts_at_ms <= counted_at_ms && request.ends_at_ms > counted_at_ms
        };
        let running = self
            .requests
            .iter()
            .chain(&self.ended)
            .filter(was_running)
            .count();
        let report = LoadReport {
            sent_at: self.now(),
            running: SlotCount(u32::try_from(running).unwrap()),
        };
        self.ledger.record_report(report, self.now());
    }

    fn restart(&mut self, node: usize) {
        let now_ms = self.now_ms;
        // Requests that have not been sent are never sent; running ones continue at the engine.
        self.requests
            .retain(|request| request.node != node || request.starts_at_ms <= now_ms);
        for request in &mut self.requests {
            request.is_held &= request.node != node;
        }
        let node_state = &mut self.nodes[node];
        node_state.incarnation += 1;
        node_state.last_ticket = SlotTicket(0);
        node_state.latest_slot = None;
        node_state.waiting.clear();
    }

    fn change_owner(&mut self, fencing: FencingNumber) {
        self.fencing = fencing;
        self.ledger = SlotLedger::new(self.fencing, self.epoch, TIMING, self.now());
    }

    fn hand_over(&mut self) {
        let fencing = self.fencing.next();
        if self.ledger.is_idle() {
            self.fencing = fencing;
            self.ledger = SlotLedger::after_idle_owner(fencing, self.epoch, TIMING);
        } else {
            self.change_owner(fencing);
        }
    }

    pub(crate) fn try_grant(&mut self, slot: &SlotId) -> bool {
        let (limit, now) = (self.limit_count(), self.now());
        self.ledger.grant(slot, self.epoch, limit, now).is_ok()
    }

    pub(crate) fn holder(&self, node: usize) -> SlotHolder {
        SlotHolder {
            node: format!("node-{node}").parse().unwrap(),
            incarnation: Incarnation(self.nodes[node].incarnation),
        }
    }

    pub(crate) fn limit_count(&self) -> SlotCount {
        SlotCount(if self.is_warm { WARM_LIMIT } else { COLD_LIMIT })
    }

    pub(crate) fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }
}

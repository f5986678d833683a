//! [`World`].

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_routing::{
    AskState, HeldRange, LoadReport, SlotEnd, SlotHolder, SlotId, SlotLedger, SlotTerms,
};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::asker::Asker;
use crate::op::{MAX_REQUEST_MS, MAX_SEND_MS, NODES, Op};
use crate::request::Request;

const TERMS: SlotTerms = SlotTerms {
    max_send_ms: Millis(MAX_SEND_MS),
    max_report_lag_ms: Millis(500),
    holder_timeout_ms: Millis(6_000),
    max_cancel_ms: Millis(1_000),
    max_request_ms: Millis(MAX_REQUEST_MS),
};

/// The time after which every earlier grant shows in a report.
const RECOVERY_MS: u64 = MAX_SEND_MS + 500;

const WARM_LIMIT: u32 = 5;
const COLD_LIMIT: u32 = 2;

/// The nodes, the network, the engine and the owner of one group, on a clock of their own.
#[derive(Debug)]
pub struct World {
    pub(crate) started: Instant,
    pub(crate) now_ms: u64,
    pub(crate) ledger: SlotLedger,
    pub(crate) fencing: FencingNumber,
    pub(crate) epoch: Epoch,
    pub(crate) warm: bool,
    pub(crate) askers: Vec<Asker>,
    pub(crate) requests: Vec<Request>,
    pub(crate) ended: Vec<Request>,
    pub overrun: Option<(usize, u32)>,
}

impl World {
    pub fn new() -> Self {
        let started = Instant::now() + Duration::from_secs(3_600);
        let (fencing, epoch) = (FencingNumber(1), Epoch(1));
        let asker = Asker {
            incarnation: 1,
            last: SlotTicket(0),
            releases_lost: false,
            latest: None,
            waiting: Vec::new(),
        };
        let mut world = Self {
            started,
            now_ms: 0,
            ledger: SlotLedger::new(fencing, epoch, TERMS, started),
            fencing,
            epoch,
            warm: true,
            askers: vec![asker; NODES],
            requests: Vec::new(),
            ended: Vec::new(),
            overrun: None,
        };
        // The first owner too waits until it knows what runs.
        world.apply(Op::Advance { by_ms: RECOVERY_MS });
        world.apply(Op::Report { lag_ms: 0 });
        world
    }

    pub fn limit(&self) -> usize {
        self.limit_count().get() as usize
    }

    /// Counts the requests that run or may still start.
    pub fn outstanding(&self) -> usize {
        self.requests.len()
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Ask {
                node,
                send_ms,
                run_ms,
            } => self.ask(node, send_ms, run_ms),
            Op::AskAndWait {
                node,
                send_ms,
                run_ms,
            } => self.ask_and_wait(node, send_ms, run_ms),
            Op::AskAgain { node } => self.ask_again(node),
            Op::AskInVain { node, release_lost } => self.ask_in_vain(node, release_lost),
            Op::RepeatAsk { node } => self.repeat_ask(node),
            Op::Abandon {
                node,
                engine_goes_on_ms,
            } => self.abandon(node, engine_goes_on_ms),
            Op::Advance { by_ms } => self.advance(by_ms),
            Op::Renew { node } => self.renew(node),
            Op::Report { lag_ms } => self.report(lag_ms),
            Op::LoseReleases { node, lost } => self.askers[node].releases_lost = lost,
            Op::Die { node } => self.die(node),
            Op::ChangeOwner => self.change_owner(self.fencing.next()),
            Op::HandOver => self.hand_over(),
            Op::FormAnew => self.change_owner(FencingNumber(1)),
            Op::ChangeEpoch => {
                self.epoch = self.epoch.next();
                self.ledger.set_epoch(self.epoch);
            }
            Op::SetWarm { warm } => self.warm = warm,
        }
    }

    /// Lets every request end and the nodes and the engine report as they do at rest.
    pub fn settle(&mut self) {
        for asker in &mut self.askers {
            asker.releases_lost = false;
            asker.waiting.clear();
        }
        for _ in 0..30 {
            self.advance(1_000);
            self.report(0);
            (0..NODES).for_each(|node| self.renew(node));
        }
    }

    /// Counts the slots that the owner grants one after the other.
    pub fn grantable(&mut self) -> usize {
        let before = self.requests.len();
        for _ in 0..=self.limit() {
            self.ask(0, 0, 10);
        }
        self.requests.len() - before
    }

    fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        let now_ms = self.now_ms;
        let is_over = |request: &mut Request| request.ends_at_ms <= now_ms;
        let over: Vec<Request> = self.requests.extract_if(.., is_over).collect();
        for request in over {
            if request.held {
                self.release(request.node, &request.slot, SlotEnd::Finished);
            }
            self.ended.push(request);
        }
    }

    pub(crate) fn release(&mut self, node: usize, slot: &SlotId, end: SlotEnd) {
        if !self.askers[node].releases_lost {
            self.ledger.release(slot, end, self.now());
        }
    }

    fn renew(&mut self, node: usize) {
        let held = self
            .requests
            .iter()
            .filter(|request| request.node == node && request.held)
            .map(|request| (request.slot.ticket, AskState::Held));
        let asking = self.askers[node].waiting.iter();
        let asking = asking.map(|(ticket, _, _)| (*ticket, AskState::Asking));
        let asks: BTreeMap<SlotTicket, AskState> = asking.chain(held).collect();
        let holder = self.holder(node);
        let last = self.askers[node].last;
        for range in HeldRange::split(&asks, last) {
            self.ledger.reconcile(&holder, &range, self.now());
        }
    }

    fn report(&mut self, lag_ms: u64) {
        let seen_at_ms = self.now_ms.saturating_sub(lag_ms);
        let ran = |request: &&Request| {
            request.starts_at_ms <= seen_at_ms && request.ends_at_ms > seen_at_ms
        };
        let running = self.requests.iter().chain(&self.ended).filter(ran).count();
        let report = LoadReport {
            sent_at: self.now(),
            running: SlotCount(u32::try_from(running).unwrap()),
        };
        self.ledger.note_report(report, self.now());
    }

    fn die(&mut self, node: usize) {
        let now_ms = self.now_ms;
        // A request that was not sent yet never is; one that runs goes on.
        self.requests
            .retain(|request| request.node != node || request.starts_at_ms <= now_ms);
        for request in &mut self.requests {
            request.held &= request.node != node;
        }
        let asker = &mut self.askers[node];
        asker.incarnation += 1;
        asker.last = SlotTicket(0);
        asker.latest = None;
        asker.waiting.clear();
    }

    fn change_owner(&mut self, fencing: FencingNumber) {
        self.fencing = fencing;
        self.ledger = SlotLedger::new(self.fencing, self.epoch, TERMS, self.now());
    }

    fn hand_over(&mut self) {
        let fencing = self.fencing.next();
        if self.ledger.is_idle() {
            self.fencing = fencing;
            self.ledger = SlotLedger::after_idle_owner(fencing, self.epoch, TERMS);
        } else {
            self.change_owner(fencing);
        }
    }

    pub(crate) fn grants(&mut self, slot: &SlotId) -> bool {
        let (limit, now) = (self.limit_count(), self.now());
        self.ledger.grant(slot, self.epoch, limit, now).is_ok()
    }

    pub(crate) fn holder(&self, node: usize) -> SlotHolder {
        SlotHolder {
            node: format!("node-{node}").parse().unwrap(),
            incarnation: Incarnation(self.askers[node].incarnation),
        }
    }

    pub(crate) fn limit_count(&self) -> SlotCount {
        SlotCount(if self.warm { WARM_LIMIT } else { COLD_LIMIT })
    }

    pub(crate) fn now(&self) -> Instant {
        self.started + Duration::from_millis(self.now_ms)
    }
}

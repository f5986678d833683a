//! The ways in which the nodes of a [`World`] ask.

use cuminlb_routing::{SlotEnd, SlotId};

use crate::request::Request;
use crate::world::World;

impl World {
    pub(crate) fn ask(&mut self, node: usize, send_ms: u64, run_ms: u64) {
        let slot = self.next_slot(node);
        self.ask_for(slot, node, send_ms, run_ms);
    }

    pub(crate) fn ask_and_wait(&mut self, node: usize, send_ms: u64, run_ms: u64) {
        let slot = self.next_slot(node);
        let ticket = slot.ticket;
        if !self.ask_for(slot, node, send_ms, run_ms) {
            self.askers[node].waiting.push((ticket, send_ms, run_ms));
        }
    }

    pub(crate) fn ask_again(&mut self, node: usize) {
        let waiting = std::mem::take(&mut self.askers[node].waiting);
        for (ticket, send_ms, run_ms) in waiting {
            let holder = self.holder(node);
            let slot = SlotId { holder, ticket };
            if !self.ask_for(slot, node, send_ms, run_ms) {
                self.askers[node].waiting.push((ticket, send_ms, run_ms));
            }
        }
    }

    pub(crate) fn ask_in_vain(&mut self, node: usize, release_lost: bool) {
        let slot = self.next_slot(node);
        self.grants(&slot);
        if !release_lost {
            self.ledger.release(&slot, SlotEnd::Finished, self.now());
        }
    }

    pub(crate) fn repeat_ask(&mut self, node: usize) {
        if let Some(slot) = self.askers[node].latest.clone() {
            self.grants(&slot);
        }
    }

    pub(crate) fn abandon(&mut self, node: usize, engine_goes_on_ms: u64) {
        let now_ms = self.now_ms;
        let running = self
            .requests
            .iter_mut()
            .find(|request| request.node == node && request.held && request.starts_at_ms <= now_ms);
        if let Some(request) = running {
            request.held = false;
            request.ends_at_ms = request.ends_at_ms.min(now_ms + engine_goes_on_ms);
            let slot = request.slot.clone();
            self.release(node, &slot, SlotEnd::Abandoned);
        }
    }

    pub(crate) fn next_slot(&mut self, node: usize) -> SlotId {
        let asker = &mut self.askers[node];
        asker.last = asker.last.next();
        let ticket = asker.last;
        let holder = self.holder(node);
        let slot = SlotId { holder, ticket };
        self.askers[node].latest = Some(slot.clone());
        slot
    }

    fn ask_for(&mut self, slot: SlotId, node: usize, send_ms: u64, run_ms: u64) -> bool {
        let is_granted = self.grants(&slot);
        if is_granted {
            let starts_at_ms = self.now_ms + send_ms;
            self.requests.push(Request {
                slot,
                node,
                starts_at_ms,
                ends_at_ms: starts_at_ms + run_ms,
                held: true,
            });
            if self.requests.len() > self.limit() {
                self.overrun = Some((self.requests.len(), self.limit_count().get()));
            }
        }
        is_granted
    }
}

//! How the nodes of a [`Simulation`] request and abandon slots.

use cuminlb_routing::{ReleaseReason, SlotId};

use crate::request::Request;
use crate::simulation::Simulation;

impl Simulation {
    pub(crate) fn request_slot(&mut self, node: usize, send_ms: u64, run_ms: u64) {
        let slot = self.next_slot_id(node);
        self.try_request(slot, node, send_ms, run_ms);
    }

    pub(crate) fn request_slot_with_retry(&mut self, node: usize, send_ms: u64, run_ms: u64) {
        let slot = self.next_slot_id(node);
        let ticket = slot.ticket;
        if !self.try_request(slot, node, send_ms, run_ms) {
            self.nodes[node].waiting.push((ticket, send_ms, run_ms));
        }
    }

    pub(crate) fn retry_denied(&mut self, node: usize) {
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        for (ticket, send_ms, run_ms) in waiting {
            let holder = self.holder(node);
            let slot = SlotId { holder, ticket };
            if !self.try_request(slot, node, send_ms, run_ms) {
                self.nodes[node].waiting.push((ticket, send_ms, run_ms));
            }
        }
    }

    pub(crate) fn request_and_cancel(&mut self, node: usize, is_release_dropped: bool) {
        let slot = self.next_slot_id(node);
        self.try_grant(&slot);
        if !is_release_dropped {
            self.ledger
                .release(&slot, ReleaseReason::Finished, self.now());
        }
    }

    pub(crate) fn repeat_request(&mut self, node: usize) {
        if let Some(slot) = self.nodes[node].latest_slot.clone() {
            self.try_grant(&slot);
        }
    }

    pub(crate) fn abandon(&mut self, node: usize, engine_runs_on_ms: u64) {
        let now_ms = self.now_ms;
        let running = self.requests.iter_mut().find(|request| {
            request.node == node && request.is_held && request.starts_at_ms <= now_ms
        });
        if let Some(request) = running {
            request.is_held = false;
            request.ends_at_ms = request.ends_at_ms.min(now_ms + engine_runs_on_ms);
            let slot = request.slot.clone();
            self.release(node, &slot, ReleaseReason::Abandoned);
        }
    }

    pub(crate) fn next_slot_id(&mut self, node: usize) -> SlotId {
        let node_state = &mut self.nodes[node];
        node_state.last_ticket = node_state.last_ticket.next();
        let ticket = node_state.last_ticket;
        let holder = self.holder(node);
        let slot = SlotId { holder, ticket };
        self.nodes[node].latest_slot = Some(slot.clone());
        slot
    }

    fn try_request(&mut self, slot: SlotId, node: usize, send_ms: u64, run_ms: u64) -> bool {
        let is_granted = self.try_grant(&slot);
        if is_granted {
            let starts_at_ms = self.now_ms + send_ms;
            self.requests.push(Request {
                slot,
                node,
                starts_at_ms,
                ends_at_ms: starts_at_ms + run_ms,
                is_held: true,
            });
            if self.requests.len() > self.limit() {
                self.limit_violation = Some((self.requests.len(), self.limit_count().get()));
            }
        }
        is_granted
    }
}

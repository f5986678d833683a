//! The slot requests of this node, and which owners need a renewal of them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_peer::RenewedGroup;
use cuminlb_routing::{HeldRange, SlotRequestState};
use cuminlb_types::prelude::*;

/// The slot requests of this node that are in flight or hold a slot.
#[derive(Debug, Default)]
pub struct SlotRequests {
    requests: Mutex<Requests>,
}

/// The requests behind the lock.
#[derive(Debug, Default)]
struct Requests {
    /// The ticket of the last request.
    last: SlotTicket,
    /// The requests of each group that have not ended.
    active: HashMap<GroupId, BTreeMap<SlotTicket, SlotRequestState>>,
    /// The last request for each group to each owner that has not accepted a renewal since.
    unrenewed: HashMap<(NodeId, GroupId), SlotTicket>,
}

impl SlotRequests {
    /// Records a request that is about to be sent, and returns its ticket.
    pub fn start(&self, group: &GroupId, owner: &NodeId) -> SlotTicket {
        let mut requests = self.lock();
        let ticket = requests.last.next();
        requests.last = ticket;
        let active = requests.active.entry(group.clone()).or_default();
        active.insert(ticket, SlotRequestState::Pending);
        let key = (owner.clone(), group.clone());
        requests.unrenewed.insert(key, ticket);
        ticket
    }

    /// Records that a request was granted a slot.
    pub fn hold(&self, group: &GroupId, ticket: SlotTicket) {
        let mut requests = self.lock();
        let active = requests.active.get_mut(group);
        if let Some(state) = active.and_then(|active| active.get_mut(&ticket)) {
            *state = SlotRequestState::Held;
        }
    }

    /// Removes a request that no longer holds a slot.
    pub fn end(&self, group: &GroupId, ticket: SlotTicket) {
        let mut requests = self.lock();
        if let Some(active) = requests.active.get_mut(group) {
            active.remove(&ticket);
            if active.is_empty() {
                requests.active.remove(group);
            }
        }
    }

    /// Returns the renewals to send to each owner, with the groups of one owner together.
    ///
    /// `owner_of` returns the current owner of a group, where that is known. That owner gets a
    /// renewal as well as the owner that granted the slots.
    pub fn renewals(
        &self,
        owner_of: impl Fn(&GroupId) -> Option<NodeId>,
    ) -> HashMap<NodeId, Vec<RenewedGroup>> {
        let mut requests = self.lock();
        let last = requests.last;
        let groups: Vec<GroupId> = requests.active.keys().cloned().collect();
        for group in groups {
            if let Some(owner) = owner_of(&group) {
                requests.unrenewed.entry((owner, group)).or_insert(last);
            }
        }
        let mut renewals: HashMap<NodeId, Vec<RenewedGroup>> = HashMap::new();
        for (owner, group) in requests.unrenewed.keys() {
            let ranges = requests.active.get(group).map_or_else(
                || HeldRange::split(&BTreeMap::new(), last),
                |active| HeldRange::split(active, last),
            );
            let renewed = ranges.into_iter().map(|range| RenewedGroup {
                group: group.clone(),
                range,
            });
            renewals.entry(owner.clone()).or_default().extend(renewed);
        }
        renewals
    }

    /// Records that an owner has accepted a renewal. It gets another one only after a further
    /// request, or while a request of the group has not ended.
    pub fn record_renewed(&self, owner: &NodeId, renewed: &[RenewedGroup]) {
        let mut requests = self.lock();
        for RenewedGroup { group, range } in renewed {
            let key = (owner.clone(), group.clone());
            let is_settled = requests
                .unrenewed
                .get(&key)
                .is_some_and(|last| *last <= range.last);
            if is_settled && !requests.active.contains_key(group) {
                requests.unrenewed.remove(&key);
            }
        }
    }

    /// Stops renewals of a group to a node that no longer owns it.
    pub fn remove_owner(&self, owner: &NodeId, group: &GroupId) {
        self.lock()
            .unrenewed
            .remove(&(owner.clone(), group.clone()));
    }

    /// Stops all renewals to a node that is no longer listed.
    pub fn remove_node(&self, node: &NodeId) {
        self.lock().unrenewed.retain(|(owner, _), _| owner != node);
    }

    fn lock(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

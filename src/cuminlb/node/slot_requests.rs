//! [`SlotRequests`].

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_peer::RenewedGroup;
use cuminlb_routing::{AskState, HeldRange};
use cuminlb_types::prelude::*;

/// The asks for slots of this node that are under way or hold a slot.
#[derive(Debug, Default)]
pub struct SlotRequests {
    holdings: Mutex<Holdings>,
}

#[derive(Debug, Default)]
struct Holdings {
    last: SlotTicket,
    held: HashMap<GroupId, BTreeMap<SlotTicket, AskState>>,
    /// The last ask of each group at each owner that has not taken in a renewal since.
    open: HashMap<(NodeId, GroupId), SlotTicket>,
}

impl SlotRequests {
    /// Notes an ask that is about to be sent and returns its number.
    pub fn begin(&self, group: &GroupId, owner: &NodeId) -> SlotTicket {
        let mut holdings = self.lock();
        let ticket = holdings.last.next();
        holdings.last = ticket;
        let held = holdings.held.entry(group.clone()).or_default();
        held.insert(ticket, AskState::Asking);
        let key = (owner.clone(), group.clone());
        holdings.open.insert(key, ticket);
        ticket
    }

    /// Notes that an ask was granted a slot.
    pub fn hold(&self, group: &GroupId, ticket: SlotTicket) {
        let mut holdings = self.lock();
        let asks = holdings.held.get_mut(group);
        if let Some(state) = asks.and_then(|asks| asks.get_mut(&ticket)) {
            *state = AskState::Held;
        }
    }

    /// Notes that an ask holds no slot any more.
    pub fn end(&self, group: &GroupId, ticket: SlotTicket) {
        let mut holdings = self.lock();
        if let Some(held) = holdings.held.get_mut(group) {
            held.remove(&ticket);
            if held.is_empty() {
                holdings.held.remove(group);
            }
        }
    }

    /// Returns what each owner should be told, the groups of one owner together.
    ///
    /// `owner_of` returns the present owner of a group, where that is known; it is told as well as
    /// the owner that granted the slots.
    pub fn renewals(
        &self,
        owner_of: impl Fn(&GroupId) -> Option<NodeId>,
    ) -> HashMap<NodeId, Vec<RenewedGroup>> {
        let mut holdings = self.lock();
        let last = holdings.last;
        let held: Vec<GroupId> = holdings.held.keys().cloned().collect();
        for group in held {
            if let Some(owner) = owner_of(&group) {
                holdings.open.entry((owner, group)).or_insert(last);
            }
        }
        let mut renewals: HashMap<NodeId, Vec<RenewedGroup>> = HashMap::new();
        for (owner, group) in holdings.open.keys() {
            let ranges = holdings.held.get(group).map_or_else(
                || HeldRange::split(&BTreeMap::new(), last),
                |held| HeldRange::split(held, last),
            );
            let renewed = ranges.into_iter().map(|range| RenewedGroup {
                group: group.clone(),
                range,
            });
            renewals.entry(owner.clone()).or_default().extend(renewed);
        }
        renewals
    }

    /// Notes that an owner has taken in a renewal; it is told again only after a further ask or
    /// while something is held.
    pub fn record_renewed(&self, owner: &NodeId, renewed: &[RenewedGroup]) {
        let mut holdings = self.lock();
        for RenewedGroup { group, range } in renewed {
            let key = (owner.clone(), group.clone());
            let is_settled = holdings
                .open
                .get(&key)
                .is_some_and(|last| *last <= range.last);
            if is_settled && !holdings.held.contains_key(group) {
                holdings.open.remove(&key);
            }
        }
    }

    /// Forgets an owner of a group that owns it no more.
    pub fn remove_owner(&self, owner: &NodeId, group: &GroupId) {
        self.lock().open.remove(&(owner.clone(), group.clone()));
    }

    /// Forgets all that was asked of a node that is no longer listed.
    pub fn remove_node(&self, node: &NodeId) {
        self.lock().open.retain(|(owner, _), _| owner != node);
    }

    fn lock(&self) -> MutexGuard<'_, Holdings> {
        self.holdings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

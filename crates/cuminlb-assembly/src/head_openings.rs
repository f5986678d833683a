//! Tracks the heads that may serve, whatever their entries say.

use std::collections::BTreeMap;

use cuminlb_catalog::{InstanceEntry, SeatState};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::outstanding_orders::MAX_ORDER_DELAY;

/// The heads of groups that may be open: those that this leader ordered to open, and all heads of
/// groups that previous leaders formed.
///
/// An entry can be older than the order to open: the head has lost the store, the store is slow, or
/// it was restored from a copy. A head therefore may be open until it has accepted the order to
/// leave, or its entry shows that it has begun another order since it served.
#[derive(Clone, Debug)]
pub struct HeadOpenings {
    /// All epochs up to this one were assigned by previous leaders.
    last_previous_epoch: Epoch,
    /// The time until which orders of previous leaders may still be carried out.
    previous_orders_until: Instant,
    openings: BTreeMap<(GroupId, Epoch), Opening>,
}

/// What is known of the orders to open that were sent to the head of one group.
#[derive(Clone, Copy, Debug)]
struct Opening {
    /// The number of orders without a response.
    unanswered: u32,
    /// The time until which one of them may take effect.
    until: Instant,
    /// The number of orders that the head had begun when its entry last said that it serves.
    serving_orders: Option<OrderSequence>,
    /// Whether its entry has said since then that it serves no more.
    has_closed: bool,
    /// Whether the head has accepted the order to leave the group.
    has_left: bool,
}

impl HeadOpenings {
    /// Creates the tracker of a new leader, which assigns epochs above `base_epoch`.
    pub fn new(base_epoch: Epoch, now: Instant) -> Self {
        Self {
            last_previous_epoch: base_epoch,
            previous_orders_until: now + MAX_ORDER_DELAY,
            openings: BTreeMap::new(),
        }
    }

    /// Records that the head of a group is ordered to open.
    pub fn record_open(&mut self, group: &GroupId, epoch: Epoch, now: Instant) {
        let opening = self.opening(group, epoch);
        opening.unanswered += 1;
        opening.until = now + MAX_ORDER_DELAY;
        opening.serving_orders = None;
        opening.has_closed = false;
    }

    /// Records that the head of a group has responded to an order to open.
    pub fn record_open_response(&mut self, group: &GroupId, epoch: Epoch) {
        if let Some(opening) = self.openings.get_mut(&(group.clone(), epoch)) {
            opening.unanswered = opening.unanswered.saturating_sub(1);
        }
    }

    /// Records that the head of a group has accepted the order to leave it. It never returns: each
    /// join has an epoch of its own.
    pub fn record_leave(&mut self, group: &GroupId, epoch: Epoch) {
        self.opening(group, epoch).has_left = true;
    }

    /// Records what the entry of the head of a group says.
    pub fn record_entry(&mut self, group: &GroupId, epoch: Epoch, entry: &InstanceEntry) {
        let Some(seat) = &entry.seat else { return };
        if !self.is_tracked(group, epoch) {
            return;
        }
        let opening = self.opening(group, epoch);
        match seat.state {
            SeatState::Open | SeatState::Closing => {
                opening.serving_orders = opening.serving_orders.max(Some(entry.orders));
                opening.has_closed = false;
            }
            SeatState::Ready => {
                let serving_orders = opening.serving_orders;
                opening.has_closed |= serving_orders.is_some_and(|orders| orders < entry.orders);
            }
            SeatState::Joining | SeatState::Broken => {}
        }
    }

    /// Returns whether the head of a group may be open or may still open.
    pub fn may_be_open(&self, group: &GroupId, epoch: Epoch, now: Instant) -> bool {
        let Some(opening) = self.openings.get(&(group.clone(), epoch)) else {
            return self.is_tracked(group, epoch);
        };
        let may_open_late = opening.unanswered > 0 && now < opening.until;
        !opening.has_left && (may_open_late || !opening.has_closed)
    }

    /// Returns whether the head of a group has accepted the order to leave it.
    pub fn has_left(&self, group: &GroupId, epoch: Epoch) -> bool {
        let opening = self.openings.get(&(group.clone(), epoch));
        opening.is_some_and(|opening| opening.has_left)
    }

    /// Forgets the groups for which `is_present` is false.
    pub fn retain(&mut self, is_present: impl Fn(&(GroupId, Epoch)) -> bool) {
        self.openings.retain(|key, _| is_present(key));
    }

    /// Returns whether a previous leader formed a group, or this one has ordered its head to open.
    fn is_tracked(&self, group: &GroupId, epoch: Epoch) -> bool {
        epoch <= self.last_previous_epoch || self.openings.contains_key(&(group.clone(), epoch))
    }

    /// Returns what is known of the head of a group. Orders of previous leaders may be unanswered.
    fn opening(&mut self, group: &GroupId, epoch: Epoch) -> &mut Opening {
        let is_previous = epoch <= self.last_previous_epoch;
        let key = (group.clone(), epoch);
        self.openings.entry(key).or_insert(Opening {
            unanswered: u32::from(is_previous),
            until: self.previous_orders_until,
            serving_orders: None,
            has_closed: false,
            has_left: false,
        })
    }
}

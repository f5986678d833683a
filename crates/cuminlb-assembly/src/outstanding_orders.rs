//! Tracks orders that may still take effect although no response has confirmed them.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The time within which an order without a response may still be carried out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

/// Orders sent earlier, by this leader or a previous one, that may still take effect: heads that
/// start serving and instances that join.
#[derive(Clone, Debug)]
pub struct OutstandingOrders {
    /// All epochs up to this one were assigned by previous leaders.
    last_previous_epoch: Epoch,
    /// The time until which orders of previous leaders may still be carried out.
    previous_orders_until: Instant,
    opens: BTreeMap<(GroupId, Epoch), OpenOrders>,
    /// Instances that have not responded to a join order: its epoch, and the time until which it
    /// may take effect.
    joins: BTreeMap<InstanceId, (Epoch, Instant)>,
}

/// The orders to start serving that were sent to the head of one group.
#[derive(Clone, Copy, Debug)]
struct OpenOrders {
    /// The number of orders without a response.
    unanswered: u32,
    /// The time until which one of them may take effect.
    until: Instant,
}

impl OutstandingOrders {
    /// Creates the tracker of a new leader, which assigns epochs above `base_epoch`.
    pub fn new(base_epoch: Epoch, now: Instant) -> Self {
        Self {
            last_previous_epoch: base_epoch,
            previous_orders_until: now + MAX_ORDER_DELAY,
            opens: BTreeMap::new(),
            joins: BTreeMap::new(),
        }
    }

    /// Records that the head of a group is ordered to start serving.
    pub fn record_open(&mut self, group: GroupId, epoch: Epoch, now: Instant) {
        let until = now + MAX_ORDER_DELAY;
        let orders = self.opens.entry((group, epoch)).or_insert(OpenOrders {
            unanswered: 0,
            until,
        });
        orders.unanswered += 1;
        orders.until = until;
    }

    /// Records the response to an order to start serving, which takes effect by `until`.
    pub fn record_open_response(&mut self, group: GroupId, epoch: Epoch, until: Instant) {
        if let Some(orders) = self.opens.get_mut(&(group, epoch)) {
            orders.unanswered = orders.unanswered.saturating_sub(1);
            if orders.unanswered == 0 {
                orders.until = until;
            }
        }
    }

    /// Returns whether an order sent earlier may still make the head of a group start serving.
    pub fn may_open(&self, group: &GroupId, epoch: Epoch, now: Instant) -> bool {
        let orders = self.opens.get(&(group.clone(), epoch));
        epoch <= self.last_previous_epoch && now < self.previous_orders_until
            || orders.is_some_and(|orders| now < orders.until)
    }

    /// Records that an instance is ordered to join at an epoch.
    pub fn record_join(&mut self, instance: InstanceId, epoch: Epoch, now: Instant) {
        self.joins.insert(instance, (epoch, now + MAX_ORDER_DELAY));
    }

    /// Records that an instance has responded to the order to join at an epoch. Earlier join orders
    /// have lower epochs, which the instance refuses from now on.
    pub fn record_join_response(&mut self, instance: &InstanceId, epoch: Epoch) {
        if self
            .joins
            .get(instance)
            .is_some_and(|(ordered, _)| *ordered == epoch)
        {
            self.joins.remove(instance);
        }
    }

    /// Returns whether a join order sent earlier may still move a member of a group at `epoch` into
    /// another group.
    pub fn may_be_reassigned(&self, instance: &InstanceId, epoch: Epoch, now: Instant) -> bool {
        let join = self.joins.get(instance);
        epoch <= self.last_previous_epoch && now < self.previous_orders_until
            || join.is_some_and(|(ordered, until)| *ordered > epoch && now < *until)
    }

    /// Removes the orders that can no longer take effect.
    pub fn remove_expired(&mut self, now: Instant) {
        self.opens.retain(|_, orders| now < orders.until);
        self.joins.retain(|_, (_, until)| now < *until);
    }
}

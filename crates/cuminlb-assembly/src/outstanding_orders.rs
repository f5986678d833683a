//! Tracks orders to join that may still take effect although no response has confirmed them.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The time within which an order without a response may still be carried out.
pub(crate) const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

/// Orders to join sent earlier, by this leader or a previous one, that may still take effect.
#[derive(Clone, Debug)]
pub struct OutstandingOrders {
    /// All epochs up to this one were assigned by previous leaders.
    last_previous_epoch: Epoch,
    /// The time until which orders of previous leaders may still be carried out.
    previous_orders_until: Instant,
    /// Instances that have not responded to a join order: its epoch, and the time until which it
    /// may take effect.
    joins: BTreeMap<InstanceId, (Epoch, Instant)>,
}

impl OutstandingOrders {
    /// Creates the tracker of a new leader, which assigns epochs above `base_epoch`.
    pub fn new(base_epoch: Epoch, now: Instant) -> Self {
        Self {
            last_previous_epoch: base_epoch,
            previous_orders_until: now + MAX_ORDER_DELAY,
            joins: BTreeMap::new(),
        }
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
        self.joins.retain(|_, (_, until)| now < *until);
    }
}

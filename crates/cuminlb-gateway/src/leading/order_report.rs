//! The result of an order that the leader sent.

use cuminlb_catalog::{GroupOrder, OrderOutcome, OrderResponse};
use cuminlb_types::prelude::*;

/// The result of an order of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrderReport {
    /// The service that the instance works for.
    pub(super) service: ServiceId,
    /// The instance that the order was sent to.
    pub(super) instance: InstanceId,
    /// The order.
    pub(super) order: GroupOrder,
    /// The response of the instance.
    pub(super) response: OrderResponse,
}

impl OrderReport {
    /// Returns the result of an order that was not sent, because this node does not reach the instance.
    pub(super) fn unreachable(service: ServiceId, instance: InstanceId, order: GroupOrder) -> Self {
        Self {
            service,
            instance,
            order,
            response: OrderOutcome::Unreachable.into(),
        }
    }
}

//! [`OrderReport`].

use cuminlb_catalog::{GroupOrder, OrderOutcome};
use cuminlb_types::prelude::*;

/// What became of an order of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrderReport {
    /// The service that the instance works for.
    pub(super) service: ServiceId,
    /// The instance that it was given to.
    pub(super) instance: InstanceId,
    /// The order.
    pub(super) order: GroupOrder,
    /// What became of it.
    pub(super) outcome: OrderOutcome,
}

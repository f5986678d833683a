//! The row that an instance publishes in the platform's store.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;

use crate::Seat;

/// The data that an instance publishes about itself in the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceEntry {
    /// The instance.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// Whether it is draining and about to stop.
    pub is_leaving: bool,
    /// The remaining time of its cold start, in which it is slower than normal.
    pub cold_remaining_ms: Millis,
    /// The number of requests that it runs concurrently.
    pub slots: SlotCount,
    /// The incarnation of its process, which distinguishes it from earlier starts.
    pub incarnation: Incarnation,
    /// The number of orders that it has begun in this incarnation.
    pub orders: OrderSequence,
    /// The fabric domain that it is in, if any.
    pub domain: Option<FabricDomainId>,
    /// The models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Its seat in a group, if it is a member of one.
    pub seat: Option<Seat>,
}

impl InstanceEntry {
    /// Returns whether the weights of a model are on its host.
    pub fn has_staged(&self, model: &ModelId) -> bool {
        self.staged.contains(model)
    }
}

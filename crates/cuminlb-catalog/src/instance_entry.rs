//! [`InstanceEntry`].

use std::net::SocketAddr;

use cuminlb_types::prelude::*;

use crate::Seat;

/// What an instance says of itself in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceEntry {
    /// The instance.
    pub id: InstanceId,
    /// The service that it works for.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub cold_ms: Millis,
    /// The requests that it runs at once.
    pub slots: SlotCount,
    /// The start of its process, which tells one life from the next.
    pub life: Incarnation,
    /// The orders that it has begun in this life.
    pub orders: OrderSequence,
    /// The part of the fabric that it is in.
    pub domain: Option<FabricDomainId>,
    /// The models whose weights its host holds.
    pub staged: Vec<ModelId>,
    /// Its place in a group.
    pub seat: Option<Seat>,
}

impl InstanceEntry {
    /// Tells whether its host holds the weights of a model.
    pub fn has_staged(&self, model: &ModelId) -> bool {
        self.staged.contains(model)
    }
}

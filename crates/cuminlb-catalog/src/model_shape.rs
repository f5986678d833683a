//! The size and timing of the groups of one model.

use cuminlb_types::prelude::*;

/// The shape of the groups that serve one model: their size, share and join times.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelShape {
    /// The model.
    pub id: ModelId,
    /// The number of instances in a group.
    pub size: MemberCount,
    /// The model's share of the work, and hence of all instances, relative to the other models.
    pub share: f64,
    /// The factor by which all times of the group are multiplied.
    pub time_factor: f64,
    /// The time to load the weights onto a host.
    pub load_ms: Millis,
    /// The time to join a group when the host has the weights.
    pub warm_join_ms: Millis,
}

//! [`ModelShape`].

use cuminlb_types::prelude::*;

/// The shape of the groups that serve one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelShape {
    /// The model.
    pub id: ModelId,
    /// The instances that a group needs.
    pub size: MemberCount,
    /// The part of all instances that the model needs by its share of the work.
    pub share: f64,
    /// The factor on all times of the group.
    pub pace: f64,
    /// The time that loading the weights onto a host takes.
    pub load_ms: Millis,
    /// The time that joining takes where the host has the weights.
    pub warm_ms: Millis,
}

//! A member as a step of a plan names it.

use cuminlb_types::prelude::*;

/// A member of a group that a plan forms or repairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMember {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance that the plan counts on.
    pub incarnation: Incarnation,
}

//! [`PlannedMember`].

use cuminlb_types::prelude::*;

/// One member of a group that a plan forms or repairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMember {
    /// The instance.
    pub instance: InstanceId,
    /// The start of the instance's process.
    pub incarnation: Incarnation,
}

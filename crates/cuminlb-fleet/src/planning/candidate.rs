//! [`Candidate`].

use cuminlb_types::prelude::*;

/// One instance that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The fabric domain of the instance.
    pub domain: FabricDomainId,
    /// The accelerators of the instance.
    pub accelerators: AcceleratorCount,
    /// Whether the instance is live and may join a group.
    pub usable: bool,
}

//! One group in a roster, and the fencing numbers of orders to its members.

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupState;

/// The number of low bits in the fencing number of an order that hold the lease's fencing number.
const LEASE_FENCING_BITS: u32 = 24;

/// One group of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupRecord {
    /// The group.
    pub id: GroupId,
    /// The epoch; every change of the members increases it.
    pub epoch: Epoch,
    /// The availability zone of all members.
    pub zone: ZoneId,
    /// The fabric domain of all members.
    pub domain: FabricDomainId,
    /// The members, the leader first.
    pub members: Vec<InstanceId>,
    /// The incarnation of each member that belongs to this epoch; a later incarnation has lost
    /// its partition of the model.
    pub incarnations: BTreeMap<InstanceId, Incarnation>,
    /// The state, which decides whether the group may serve.
    pub state: GroupState,
}

impl GroupRecord {
    /// Returns the fencing number of an order that the holder of the group's lease sends.
    ///
    /// Epochs increase across all groups of a service, while the fencing numbers of each group's
    /// lease start at 1. The epoch is in the high bits, so that an engine that moves from one
    /// group to another accepts the orders of the later group and refuses those of the earlier
    /// one.
    pub const fn order_fencing(&self, lease: FencingNumber) -> FencingNumber {
        let lease_mask = (1 << LEASE_FENCING_BITS) - 1;
        let epoch_base = epoch_fencing(self.epoch);
        FencingNumber(epoch_base.get() | (lease.get() & lease_mask))
    }

    /// Returns whether an incarnation of a member is the one that belongs to this epoch.
    pub fn has_incarnation(&self, member: &InstanceId, incarnation: Incarnation) -> bool {
        self.incarnations.get(member) == Some(&incarnation)
    }
}

/// Returns the lowest fencing number of the orders of an epoch.
pub(super) const fn epoch_fencing(epoch: Epoch) -> FencingNumber {
    FencingNumber(epoch.get() << LEASE_FENCING_BITS)
}

//! [`GroupRecord`].

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupState;

/// The number of bits that the fencing number of a lease takes in the one of an order.
const LEASE_FENCING_BITS: u32 = 24;

/// One group of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupRecord {
    /// The group.
    pub id: GroupId,
    /// The epoch; every change of the members raises it.
    pub epoch: Epoch,
    /// The availability zone of all members.
    pub zone: ZoneId,
    /// The fabric domain of all members.
    pub domain: FabricDomainId,
    /// The members, the leader first.
    pub members: Vec<InstanceId>,
    /// The start of each member's process that belongs to this epoch; a later start has lost
    /// its part of the model.
    pub incarnations: BTreeMap<InstanceId, Incarnation>,
    /// Whether the group may serve.
    pub state: GroupState,
}

impl GroupRecord {
    /// Returns the fencing number of an order that the holder of the group's lease gives.
    ///
    /// Epochs rise over all groups of a service, while each group's lease counts from 1. The
    /// epoch comes first, so that an engine that moves from one group to another takes the
    /// orders of the later one and refuses those of the earlier one.
    pub const fn order_fencing(&self, lease: FencingNumber) -> FencingNumber {
        let epoch = self.epoch.get() << LEASE_FENCING_BITS;
        let lease_mask = (1 << LEASE_FENCING_BITS) - 1;
        FencingNumber(epoch | (lease.get() & lease_mask))
    }

    /// Tells whether a start of a member's process is the one that belongs to this epoch.
    pub fn is_incarnation(&self, member: &InstanceId, incarnation: Incarnation) -> bool {
        self.incarnations.get(member) == Some(&incarnation)
    }
}

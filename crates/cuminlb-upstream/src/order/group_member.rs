//! A member of a group, as listed in an order to join the group.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One member of a group and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupMember {
    /// The instance that is the member.
    pub instance: InstanceId,
    /// The address on which the instance listens.
    pub address: SocketAddr,
}

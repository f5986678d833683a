//! One entry of the instance list on the wire.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{InstanceRole, InstanceState};

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The id; for a node it is also the node id.
    pub id: InstanceId,
    /// What runs on the instance.
    pub role: InstanceRole,
    /// The address on which the instance listens: for peers if it is a node, for orders and calls
    /// if it is an upstream.
    pub address: SocketAddr,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The fabric domain of the instance.
    pub domain: FabricDomainId,
    /// The number of accelerators of the instance.
    pub accelerators: AcceleratorCount,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}

//! [`InstanceRecord`].

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{InstanceRole, InstanceState};

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The id of the instance.
    pub id: InstanceId,
    /// What runs on the instance.
    pub role: InstanceRole,
    /// Where the instance listens: peers for a node, orders and calls for an upstream.
    pub address: SocketAddr,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The fabric domain of the instance.
    pub domain: FabricDomainId,
    /// The accelerators of the instance.
    pub accelerators: AcceleratorCount,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}

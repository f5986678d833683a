//! [`NodeStatus`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::ServiceStatus;

/// What a node says of itself and of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// The availability zone of the node.
    pub zone: ZoneId,
    /// Whether the balancer should send requests here.
    pub ready: bool,
    /// The configuration in force.
    pub config: ConfigVersion,
    /// How long ago the node last heard the table.
    pub table_age_ms: Option<Millis>,
    /// The nodes that the platform lists.
    pub nodes: Vec<NodeId>,
    /// The services.
    pub services: Vec<ServiceStatus>,
}

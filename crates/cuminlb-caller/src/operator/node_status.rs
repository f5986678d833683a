//! The state of one node as returned to operators.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::ServiceStatus;

/// The state of a node, and of the fleet as known to it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// The id of the node.
    pub node: NodeId,
    /// The availability zone of the node.
    pub zone: ZoneId,
    /// Whether the load balancer should send requests to this node.
    pub ready: bool,
    /// The current configuration.
    pub config: ConfigVersion,
    /// The time since the node's last contact with the table; `None` if there was none.
    pub table_age_ms: Option<Millis>,
    /// The nodes that the platform lists.
    pub nodes: Vec<NodeId>,
    /// The services.
    pub services: Vec<ServiceStatus>,
}

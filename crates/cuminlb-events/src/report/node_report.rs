//! The report of a node.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{GroupReport, ServiceReport, TeamReport};

/// The report of a node on its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: NodeId,
    /// The availability zone of the node.
    pub zone: ZoneId,
    /// Whether the load balancer should send requests to the node.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// The active configuration of the node.
    pub config: ConfigVersion,
    /// The age of the node's knowledge of the table.
    pub table_age_ms: Option<Millis>,
    /// The groups that the node owns.
    pub groups: Vec<GroupReport>,
    /// The requests at the node, by service.
    pub services: Vec<ServiceReport>,
    /// The requests at the node, by team.
    pub teams: Vec<TeamReport>,
}

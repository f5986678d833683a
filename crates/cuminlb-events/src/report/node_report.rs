//! [`NodeReport`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{GroupReport, ServiceReport, TeamReport};

/// What a node reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: NodeId,
    /// The availability zone of the node.
    pub zone: ZoneId,
    /// Whether the balancer should send requests here.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// The configuration in force on the node.
    pub config: ConfigVersion,
    /// How long ago the node last heard the table.
    pub table_age_ms: Option<Millis>,
    /// The groups that the node owns.
    pub groups: Vec<GroupReport>,
    /// The requests that the node has, by service.
    pub services: Vec<ServiceReport>,
    /// The requests that the node has, by team.
    pub teams: Vec<TeamReport>,
}

//! [`FleetStatus`].

use cuminlb_events::NodeReport;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{GroupStatus, ServiceStatus, ZoneStatus};

/// The state of the whole fleet, gathered from all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetStatus {
    /// The configuration in force on the node that gathered this.
    pub config: ConfigVersion,
    /// The availability zones.
    pub zones: Vec<ZoneStatus>,
    /// What each node reports of itself.
    pub nodes: Vec<NodeReport>,
    /// The listed nodes that gave no answer.
    pub silent: Vec<NodeId>,
    /// The services, each group with the report of its owner.
    pub services: Vec<ServiceStatus>,
}

impl FleetStatus {
    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupStatus> {
        self.services.iter().flat_map(|service| &service.groups)
    }

    /// Tells whether every node is ready at one configuration, and every group that the fleet
    /// file asks for serves.
    pub fn is_healthy(&self) -> bool {
        let nodes_agree = self
            .nodes
            .iter()
            .all(|node| node.ready && node.config == self.config);
        let is_whole = |service: &ServiceStatus| {
            let serving = service.groups.iter().filter(|group| group.is_serving());
            serving.count() >= service.wanted.get() as usize
        };
        self.silent.is_empty() && nodes_agree && self.services.iter().all(is_whole)
    }
}

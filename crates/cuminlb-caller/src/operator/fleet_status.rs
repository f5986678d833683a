//! The state of the whole fleet as returned to operators.

use cuminlb_events::NodeReport;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{GroupStatus, ServiceStatus, ZoneStatus};

/// The state of the whole fleet, collected from all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetStatus {
    /// The current configuration of the node that collected the state.
    pub config: ConfigVersion,
    /// The availability zones.
    pub zones: Vec<ZoneStatus>,
    /// The report of each node about itself.
    pub nodes: Vec<NodeReport>,
    /// The listed nodes that did not respond.
    pub silent: Vec<NodeId>,
    /// The services, with the report of each group's owner.
    pub services: Vec<ServiceStatus>,
}

impl FleetStatus {
    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupStatus> {
        self.services.iter().flat_map(|service| &service.groups)
    }

    /// Returns whether all listed nodes responded, all are ready with the same configuration, and
    /// every service has as many serving groups as the fleet file specifies.
    pub fn is_healthy(&self) -> bool {
        let nodes_agree = self
            .nodes
            .iter()
            .all(|node| node.ready && node.config == self.config);
        let has_all_replicas = |service: &ServiceStatus| {
            let serving = service.groups.iter().filter(|group| group.is_serving());
            serving.count() >= service.wanted.get() as usize
        };
        self.silent.is_empty() && nodes_agree && self.services.iter().all(has_all_replicas)
    }
}

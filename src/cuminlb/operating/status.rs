//! Describes the state of a node.

use cuminlb_caller::{GroupStatus, NodeStatus, OwnedGroupStatus, ServiceStatus};
use cuminlb_config::ServiceSpec;
use cuminlb_fleet::rows::{GroupRecord, GroupState};
use tokio::time::Instant;

use crate::node::{FleetView, Node, OwnedGroup};

/// Returns the state of a node and of the fleet as the node sees it.
pub(super) fn node_status(node: &Node) -> NodeStatus {
    let view = node.view();
    let services = view.spec().map_or(&[][..], |spec| &spec.services);
    NodeStatus {
        node: node.id().clone(),
        zone: node.settings.zone.clone(),
        ready: node.is_ready(),
        config: view.config_version(),
        table_age_ms: node.knowledge.age_ms(),
        nodes: view.nodes().iter().map(|(id, _)| id).collect(),
        services: services
            .iter()
            .map(|service| service_status(node, &view, service))
            .collect(),
    }
}

fn service_status(node: &Node, view: &FleetView, service: &ServiceSpec) -> ServiceStatus {
    let groups = view.groups(&service.id).iter();
    ServiceStatus {
        id: service.id.clone(),
        wanted: service.replicas,
        groups: groups
            .map(|group| group_status(node, service, group))
            .collect(),
    }
}

fn group_status(node: &Node, service: &ServiceSpec, group: &GroupRecord) -> GroupStatus {
    let missing = match &group.state {
        GroupState::Intact => Vec::new(),
        GroupState::Broken { missing } => missing.clone(),
    };
    let owned = node.owned.get(&group.id);
    GroupStatus {
        id: group.id.clone(),
        epoch: group.epoch,
        zone: group.zone.clone(),
        members: group.members.clone(),
        missing,
        owner: match &owned {
            Some(_) => Some(node.id().clone()),
            None => node.owned.seen_owner(&group.id),
        },
        owned: owned.map(|owned| owned_status(node, service, &owned)),
    }
}

fn owned_status(node: &Node, service: &ServiceSpec, owned: &OwnedGroup) -> OwnedGroupStatus {
    let warm = owned.is_warm();
    OwnedGroupStatus {
        serving: owned.is_serving(Instant::now(), node.settings.control.proof_max_age_ms),
        warm,
        taken: owned.taken(),
        limit: service.slots(warm),
    }
}

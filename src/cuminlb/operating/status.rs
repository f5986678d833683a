//! Builds the status of a node and of its groups.

use cuminlb_caller::{GroupStatus, NodeStatus, OwnedGroupStatus, ServiceStatus};
use cuminlb_config::ServiceSpec;
use cuminlb_events::GroupReport;
use cuminlb_fleet::rows::GroupRecord;

use crate::node::{FleetView, Node};

/// Returns the state of a node and of the fleet as the node sees it.
pub(super) fn node_status(node: &Node) -> NodeStatus {
    let view = node.view();
    let services = view.spec().map_or(&[][..], |spec| &spec.services);
    NodeStatus {
        node: node.id().clone(),
        zone: node.settings.zone.clone(),
        ready: node.is_ready(),
        config: view.config_version(),
        table_age_ms: node.freshness.age_ms(),
        nodes: view.nodes().iter().map(|(id, _)| id).collect(),
        services: services
            .iter()
            .map(|service| service_status(node, &view, service))
            .collect(),
    }
}

fn service_status(node: &Node, view: &FleetView, service: &ServiceSpec) -> ServiceStatus {
    let groups = view.groups(&service.id).iter();
    let reports = node.group_reports(service);
    ServiceStatus {
        id: service.id.clone(),
        wanted: service.replicas,
        groups: groups
            .map(|group| group_status(node, &reports, group))
            .collect(),
    }
}

fn group_status(node: &Node, reports: &[GroupReport], group: &GroupRecord) -> GroupStatus {
    let report = reports.iter().find(|report| report.group == group.id);
    let owner = match report {
        Some(_) => Some(node.id().clone()),
        None => node.owned.known_owner(&group.id),
    };
    GroupStatus {
        id: group.id.clone(),
        epoch: group.epoch,
        zone: group.zone.clone(),
        members: group.members.clone(),
        missing: group.state.missing().to_vec(),
        owner,
        owned: report.map(owned_status),
    }
}

/// Converts an owner's report to the fields that are part of a group's status.
pub(super) const fn owned_status(report: &GroupReport) -> OwnedGroupStatus {
    OwnedGroupStatus {
        serving: report.serving,
        warm: report.warm,
        taken: report.taken,
        limit: report.limit,
    }
}

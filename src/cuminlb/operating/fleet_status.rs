//! Collects the state of the whole fleet from all nodes.

use cuminlb_caller::{FleetStatus, GroupStatus, ZoneStatus};
use cuminlb_events::NodeReport;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;

use super::status::{node_status, owned_status};
use crate::node::Node;

/// Requests the report of every listed node and fills in each group with its owner's report.
pub(super) async fn fleet_status(node: &Node) -> FleetStatus {
    let (nodes, silent) = gather_reports(node).await;
    let own = node_status(node);
    let mut services = own.services;
    let groups = services.iter_mut().flat_map(|service| &mut service.groups);
    groups.for_each(|group| fill_in_owner(group, &nodes));
    let view = node.view();
    let zones = view.spec().map_or(&[][..], |spec| &spec.zones);
    let zone_status = |id: &ZoneId| ZoneStatus {
        id: id.clone(),
        takes_work: view.spec().is_some_and(|spec| spec.zone_is_in(id)),
    };
    FleetStatus {
        config: own.config,
        zones: zones.iter().map(|zone| zone_status(&zone.id)).collect(),
        nodes,
        silent,
        services,
    }
}

/// Returns the reports of the nodes that responded, and the nodes that did not, both sorted.
async fn gather_reports(node: &Node) -> (Vec<NodeReport>, Vec<NodeId>) {
    let peers = node.peers.all();
    let calls = peers
        .iter()
        .map(async |(id, link)| link.report().await.map_err(|_| id.clone()));
    let mut reports = vec![node.report()];
    let mut silent = Vec::new();
    for response in join_all(calls).await {
        match response {
            Ok(report) => reports.push(report),
            Err(id) => silent.push(id),
        }
    }
    reports.sort_by(|a, b| a.node.cmp(&b.node));
    silent.sort();
    (reports, silent)
}

/// Fills in the owner of a group and its report. If several nodes report the group, the latest
/// epoch wins, and within an epoch a report of a serving group.
fn fill_in_owner(group: &mut GroupStatus, nodes: &[NodeReport]) {
    let reports = nodes.iter().flat_map(|node| {
        let of_group = node.groups.iter().filter(|report| report.group == group.id);
        of_group.map(|report| (&node.node, report))
    });
    let owner = reports.max_by_key(|(_, report)| (report.epoch, report.serving));
    if let Some((node, report)) = owner {
        group.owner = Some(node.clone());
        group.owned = Some(owned_status(report));
    }
}

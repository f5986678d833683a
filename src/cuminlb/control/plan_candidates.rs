//! Lists and probes the instances that a plan may use.

use std::collections::HashSet;
use std::net::SocketAddr;

use cuminlb_fleet::planning::Candidate;
use cuminlb_fleet::rows::Roster;
use cuminlb_platform::{InstanceRecord, InstanceRole, InstanceState};
use cuminlb_types::prelude::*;
use futures_util::stream::{StreamExt, iter};
use tokio::time::Instant;

use crate::node::{FleetView, Node};

/// The number of instances that are probed concurrently.
const MAX_CONCURRENT_PROBES: usize = 64;

/// Returns the instances of a service as the platform lists them; those that are leaving, and those
/// in a zone that has been taken out, are unusable.
pub(super) fn list_candidates(view: &FleetView, service: &ServiceId) -> Vec<Candidate> {
    let role = InstanceRole::Upstream {
        service: service.clone(),
    };
    let records = view.listing.instances.iter();
    records
        .filter(|record| record.role == role)
        .map(|record| Candidate {
            instance: record.id.clone(),
            incarnation: Incarnation::default(),
            zone: record.zone.clone(),
            domain: record.domain.clone(),
            accelerators: record.accelerators,
            usable: is_usable(view, record),
            holds_weights: true,
        })
        .collect()
}

fn is_usable(view: &FleetView, record: &InstanceRecord) -> bool {
    let zone_is_in = view
        .spec()
        .is_some_and(|spec| spec.zone_is_in(&record.zone));
    record.state == InstanceState::Live && zone_is_in
}

/// Probes the usable instances whose state is not already known from the owner of their group.
///
/// The platform's list lags, so an instance that has failed may still be listed as live.
pub(super) async fn probe_candidates(
    node: &Node,
    view: &FleetView,
    roster: &Roster,
    candidates: Vec<Candidate>,
) -> Vec<Candidate> {
    let present: HashSet<InstanceId> = present_members(roster);
    let probes = candidates.into_iter().map(|candidate| {
        let address = view
            .instance(&candidate.instance)
            .map(|record| record.address);
        let address = address.filter(|_| !present.contains(&candidate.instance));
        async move {
            match address.filter(|_| candidate.usable) {
                Some(address) => probe(node, candidate, address).await,
                None => candidate,
            }
        }
    });
    iter(probes).buffered(MAX_CONCURRENT_PROBES).collect().await
}

/// Returns the members whose owners have not reported them missing.
fn present_members(roster: &Roster) -> HashSet<InstanceId> {
    let groups = roster.groups.iter();
    let members = groups.flat_map(|group| {
        let members = group.members.iter();
        members.filter(|member| !group.state.missing().contains(member))
    });
    members.cloned().collect()
}

/// Requests the report of one instance; a late response makes it as unusable as a missing one.
async fn probe(node: &Node, candidate: Candidate, address: SocketAddr) -> Candidate {
    let sent_at = Instant::now();
    let report = node.engines.report(address).await;
    let limit = node.settings.control.proof_max_age_ms.duration() / 2;
    match report {
        Ok(report) if sent_at.elapsed() < limit => Candidate {
            incarnation: report.incarnation,
            holds_weights: report.warm,
            ..candidate
        },
        Ok(_) | Err(_) => Candidate {
            usable: false,
            ..candidate
        },
    }
}

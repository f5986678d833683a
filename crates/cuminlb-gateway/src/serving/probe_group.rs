//! Probes the members of a group whose head is silent.

use cuminlb_assembly::STRAGGLER_SLOWDOWN;
use cuminlb_catalog::{InstanceEntry, InstanceReport, ProbeResponse, SeatState};
use cuminlb_peer::GroupHealth;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;

use crate::gateway::Gateway;

/// Time within which a member that is alive responds to a probe.
const PROBE_TIMEOUT_MS: Millis = Millis(70);

/// Number of probes without a response after which a member counts as lost.
const PROBE_ATTEMPTS: u32 = 2;

/// Probes the members of a group whose head is silent and evaluates whether they still hold their
/// seats.
pub(super) async fn probe_group(gateway: &Gateway, group: &GroupId, epoch: Epoch) -> GroupHealth {
    let directory = gateway.knowledge.directory();
    let mut groups = directory.groups.values().flatten();
    let Some(view) = groups.find(|view| view.group == *group && view.epoch == epoch) else {
        return GroupHealth::MemberLost;
    };
    let members = view.present().filter_map(|id| directory.find_instance(id));
    let reports = join_all(members.map(|entry| probe_member(gateway, entry))).await;
    let is_slow = |report: &InstanceReport| report.slowdown >= STRAGGLER_SLOWDOWN;
    let has_straggler = reports.iter().flatten().any(is_slow);
    let mut intact = reports
        .into_iter()
        .map(|it| it.is_some_and(|report| holds_seat(&report, group, epoch)));
    if intact.next() != Some(true) {
        GroupHealth::HeadLost
    } else if !intact.all(|it| it) {
        GroupHealth::MemberLost
    } else if has_straggler {
        GroupHealth::Straggling
    } else {
        GroupHealth::Intact
    }
}

/// Returns whether an instance reports an intact seat in a group and epoch.
pub(super) fn holds_seat(report: &InstanceReport, group: &GroupId, epoch: Epoch) -> bool {
    let seat = report.seat.as_ref();
    seat.is_some_and(|seat| {
        seat.group == *group && seat.epoch == epoch && seat.state != SeatState::Broken
    })
}

/// Probes a member; `None` if it does not respond.
pub(super) async fn probe_member(
    gateway: &Gateway,
    entry: &InstanceEntry,
) -> Option<InstanceReport> {
    for _ in 0..PROBE_ATTEMPTS {
        let control = &gateway.edges.instances;
        let response = control.probe(entry.address, PROBE_TIMEOUT_MS).await;
        if let ProbeResponse::Report(report) = response {
            gateway.record_report(entry, &report);
            return Some(report);
        }
    }
    None
}

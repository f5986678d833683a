//! Probes the members of a group whose head is silent.

use std::sync::Arc;

use cuminlb_assembly::STRAGGLER_SLOWDOWN;
use cuminlb_catalog::{InstanceEntry, InstanceReport, ProbeResponse, SeatState};
use cuminlb_peer::{GroupHealth, InstanceCheck, InstanceQuery};
use cuminlb_routing::{InstanceVerdict, LinkFailure, LinkRoute};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;

use crate::gateway::Gateway;

/// Time within which a member that is alive responds to a probe.
const PROBE_TIMEOUT_MS: Millis = Millis(70);

/// Number of probes without a response after which a member counts as lost.
const PROBE_ATTEMPTS: u32 = 2;

/// Probes the members of a group whose head is silent and evaluates whether they still hold their
/// seats.
pub(super) async fn probe_group(
    gateway: &Arc<Gateway>,
    group: &GroupId,
    epoch: Epoch,
) -> GroupHealth {
    let directory = gateway.knowledge.directory();
    let mut groups = directory.groups.values().flatten();
    let Some(view) = groups.find(|view| view.group == *group && view.epoch == epoch) else {
        return GroupHealth::MemberLost;
    };
    let members = view.present().filter_map(|id| directory.find_instance(id));
    let reports = members.map(|entry| probe_and_judge(gateway, entry));
    let Some(reports) = join_all(reports)
        .await
        .into_iter()
        .collect::<Option<Vec<_>>>()
    else {
        // Whether the group is intact can't be seen from here.
        return GroupHealth::Intact;
    };
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

/// Probes a member. Returns no report if it is lost, and nothing if only the link of this node to it
/// may be.
async fn probe_and_judge(
    gateway: &Arc<Gateway>,
    entry: &InstanceEntry,
) -> Option<Option<InstanceReport>> {
    let failure = match gateway.links.route(&entry.id) {
        LinkRoute::Direct => match probe_member(gateway, entry).await {
            Ok(report) => return Some(Some(report)),
            Err(failure) => failure,
        },
        LinkRoute::OpenOrForwarded | LinkRoute::Forwarded => LinkFailure::Refused,
    };
    let query = InstanceQuery {
        instance: entry.id.clone(),
        check: InstanceCheck::Reports,
    };
    let verdict = gateway.judge_instance(query, failure).await;
    (verdict == InstanceVerdict::InstanceLost).then_some(None)
}

/// Returns whether an instance reports an intact seat in a group and epoch.
pub(crate) fn holds_seat(report: &InstanceReport, group: &GroupId, epoch: Epoch) -> bool {
    let seat = report.seat.as_ref();
    seat.is_some_and(|seat| {
        seat.group == *group && seat.epoch == epoch && seat.state != SeatState::Broken
    })
}

/// Probes a member.
///
/// # Errors
///
/// Returns how the last probe failed if the member does not respond.
pub(crate) async fn probe_member(
    gateway: &Gateway,
    entry: &InstanceEntry,
) -> Result<InstanceReport, LinkFailure> {
    let mut failure = LinkFailure::Silent;
    for _ in 0..PROBE_ATTEMPTS {
        let control = &gateway.edges.instances;
        match control.probe(entry.address, PROBE_TIMEOUT_MS).await {
            ProbeResponse::Report(report) => {
                gateway.record_report(entry, &report);
                gateway.record_opened(&entry.id);
                return Ok(report);
            }
            ProbeResponse::NoReport | ProbeResponse::Failed => failure = LinkFailure::Refused,
            ProbeResponse::Silent => failure = LinkFailure::Silent,
        }
    }
    Err(failure)
}

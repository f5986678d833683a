//! Probes the members of a group whose head is silent.

use std::sync::Arc;

use cuminlb_assembly::STRAGGLER_SLOWDOWN;
use cuminlb_catalog::{InstanceEntry, InstanceReport, ProbeResponse, SeatState};
use cuminlb_peer::{GroupHealth, InstanceCheck, InstanceQuery};
use cuminlb_routing::{CheckTiming, InstanceVerdict, LinkFailure, LinkRoute, SilenceReports};
use cuminlb_types::prelude::*;
use futures_util::future::{join_all, pending};
use log::info;
use tokio::sync::watch;

use super::member_probe::MemberProbe;
use crate::gateway::Gateway;

/// Probes the members of a group whose head is silent and evaluates whether they still hold their
/// seats. `reports` are those of the nodes to which the head is silent.
pub(super) async fn probe_group(
    gateway: &Arc<Gateway>,
    group: &GroupId,
    epoch: Epoch,
    reports: &watch::Receiver<SilenceReports>,
) -> GroupHealth {
    let directory = gateway.knowledge.directory();
    let Some(view) = directory.find_group(group, epoch) else {
        return GroupHealth::MemberLost;
    };
    let members = view.present().filter_map(|id| directory.find_instance(id));
    let probes = members.map(|entry| probe_directly(gateway, entry));
    let probes = join_all(probes).await;
    let is_any_reached = probes.iter().any(|probe| probe.result.is_ok());
    let judged = probes
        .into_iter()
        .map(|probe| judge_member(gateway, probe, is_any_reached, reports.clone()));
    let Some(member_reports) = join_all(judged)
        .await
        .into_iter()
        .collect::<Option<Vec<_>>>()
    else {
        // Whether the group is intact can't be seen from here.
        return GroupHealth::Intact;
    };
    let is_slow = |report: &InstanceReport| report.slowdown >= STRAGGLER_SLOWDOWN;
    let has_straggler = member_reports.iter().flatten().any(is_slow);
    let mut intact = member_reports
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

/// Probes a member, unless this node is known not to reach it.
async fn probe_directly<'a>(gateway: &Gateway, entry: &'a InstanceEntry) -> MemberProbe<'a> {
    let route = gateway.links.route(&entry.id);
    let result = match route {
        LinkRoute::Direct => probe_member(gateway, entry).await,
        LinkRoute::OpenOrForwarded | LinkRoute::Forwarded => Err(LinkFailure::Refused),
    };
    MemberProbe {
        entry,
        route,
        result,
    }
}

/// Judges a member that has been probed. Returns no report if it is lost, and nothing if only the link
/// of this node to it may be. The reports of other nodes may replace second opinions, also while these are
/// awaited.
async fn judge_member(
    gateway: &Arc<Gateway>,
    probe: MemberProbe<'_>,
    is_other_member_reached: bool,
    mut reports: watch::Receiver<SilenceReports>,
) -> Option<Option<InstanceReport>> {
    let MemberProbe {
        entry,
        route,
        result,
    } = probe;
    let failure = match result {
        Ok(report) => return Some(Some(report)),
        Err(failure) => failure,
    };
    let query = InstanceQuery {
        instance: entry.id.clone(),
        check: InstanceCheck::Reports,
    };
    let confirmed = async {
        let confirms = |it: &SilenceReports| {
            route == LinkRoute::Direct && it.confirm_loss(is_other_member_reached)
        };
        let count = reports.wait_for(confirms).await.ok().map(|it| it.count());
        match count {
            Some(count) => count,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        count = confirmed => {
            info!(
                instance:% = entry.id, failure:? = failure, reports = count;
                "instance judged by reports"
            );
            Some(None)
        }
        verdict = gateway.judge_instance(query, failure) => {
            (verdict == InstanceVerdict::InstanceLost).then_some(None)
        }
    }
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
    for _ in 0..CheckTiming::PROBE_ATTEMPTS {
        let control = &gateway.edges.instances;
        match control.probe(entry.address, CheckTiming::PROBE_MS).await {
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

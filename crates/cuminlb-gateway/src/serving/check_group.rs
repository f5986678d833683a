//! [`check_group`].

use cuminlb_assembly::STRAGGLER_SLOWDOWN;
use cuminlb_catalog::{InstanceEntry, InstanceReport, SeatState};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;

use super::group_standing::GroupStanding;
use crate::gateway::Gateway;

/// The time in which a member answers that is there.
const ANSWER_TIMEOUT_MS: Millis = Millis(70);

/// How often a member is asked before it counts as gone.
const TRIES: u32 = 2;

/// Asks the members of a group whose head is silent whether they are in their places.
pub(super) async fn check_group(gateway: &Gateway, group: &GroupId, epoch: Epoch) -> GroupStanding {
    let directory = gateway.knowledge.directory();
    let mut groups = directory.groups.values().flatten();
    let Some(view) = groups.find(|view| view.group == *group && view.epoch == epoch) else {
        return GroupStanding::MemberLost;
    };
    let members = view.present().filter_map(|id| directory.any_instance(id));
    let is_in_place = |report: InstanceReport| {
        report.seat.is_some_and(|seat| {
            seat.group == *group && seat.epoch == epoch && seat.state != SeatState::Broken
        })
    };
    let answers = join_all(members.map(|entry| ask(gateway, entry))).await;
    let is_slow = |report: &InstanceReport| report.slowdown >= STRAGGLER_SLOWDOWN;
    let has_straggler = answers.iter().flatten().any(is_slow);
    let mut in_place = answers.into_iter().map(|it| it.is_some_and(is_in_place));
    if in_place.next() != Some(true) {
        GroupStanding::HeadLost
    } else if !in_place.all(|it| it) {
        GroupStanding::MemberLost
    } else if has_straggler {
        GroupStanding::Straggling
    } else {
        GroupStanding::Intact
    }
}

async fn ask(gateway: &Gateway, entry: &InstanceEntry) -> Option<InstanceReport> {
    for _ in 0..TRIES {
        let control = &gateway.edges.instances;
        let report = control.report(entry.address, ANSWER_TIMEOUT_MS).await;
        if report.is_some() {
            return report;
        }
    }
    None
}

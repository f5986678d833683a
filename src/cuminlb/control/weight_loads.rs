//! Limits how many group members load weights at the same time.

use std::collections::BTreeMap;

use cuminlb_fleet::planning::RosterChange;
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineReport, OrderError};
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::node::Node;

/// The maximum number of members that load weights concurrently.
const MAX_LOADING_MEMBERS: usize = 32;

/// The time after which a group no longer counts as loading.
const LOAD_TIMEOUT_MS: Millis = Millis(300_000);

/// The groups that a planner has formed or repaired and that are loading weights.
///
/// A planner that takes over from another node starts with none, so for a while twice as many
/// members may load.
#[derive(Debug, Default)]
pub(super) struct WeightLoads {
    started: BTreeMap<GroupId, GroupLoad>,
}

/// The loading of weights by the members of one group.
#[derive(Clone, Copy, Debug)]
struct GroupLoad {
    epoch: Epoch,
    started_at: Instant,
    members: usize,
}

impl WeightLoads {
    /// Records that the members that join a group may start to load.
    pub(super) fn start(&mut self, change: &RosterChange) {
        let load = GroupLoad {
            epoch: change.group.epoch,
            started_at: Instant::now(),
            members: change.joined.len(),
        };
        self.started.insert(change.group.id.clone(), load);
    }

    /// Returns the number of further members that may start to load now.
    pub(super) fn budget(&self) -> usize {
        let loading: usize = self.started.values().map(|load| load.members).sum();
        MAX_LOADING_MEMBERS.saturating_sub(loading)
    }

    /// Returns whether no group is known to be loading.
    pub(super) fn is_idle(&self) -> bool {
        self.started.is_empty()
    }

    /// Counts the members that are still loading, and removes the groups that are warm, that have
    /// ended, or that exceed the timeout.
    pub(super) async fn refresh(&mut self, node: &Node, roster: &Roster) {
        let mut loading = BTreeMap::new();
        for (id, load) in std::mem::take(&mut self.started) {
            let Some(group) = roster.group(&id).filter(|group| load.is_in_progress(group)) else {
                continue;
            };
            let members = count_cold(node, group).await;
            if members > 0 {
                loading.insert(id, GroupLoad { members, ..load });
            }
        }
        self.started = loading;
    }
}

impl GroupLoad {
    /// Returns whether the members may still be loading: the group is intact at the same epoch, and
    /// the timeout has not passed.
    fn is_in_progress(&self, group: &GroupRecord) -> bool {
        group.epoch == self.epoch
            && group.state == GroupState::Intact
            && self.started_at.elapsed() < LOAD_TIMEOUT_MS.duration()
    }
}

/// Returns the number of members that do not report that they are warm.
async fn count_cold(node: &Node, group: &GroupRecord) -> usize {
    let addresses: Vec<_> = {
        let view = node.view.borrow();
        let members = group.members.iter();
        members
            .filter_map(|member| view.instance(member).map(|record| record.address))
            .collect()
    };
    let reports = addresses
        .iter()
        .map(|address| node.engines.report(*address));
    let reports = join_all(reports).await;
    let is_warm =
        |report: &Result<EngineReport, OrderError>| report.as_ref().is_ok_and(|report| report.warm);
    reports.iter().filter(|report| !is_warm(report)).count()
}

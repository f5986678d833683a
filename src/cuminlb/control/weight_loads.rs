//! [`WeightLoads`].

use std::collections::BTreeMap;

use cuminlb_fleet::planning::RosterChange;
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineReport, OrderError};
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::node::Node;

/// The number of members that may load weights at once.
const MAX_LOADING_MEMBERS: usize = 32;

/// The time after which a group no longer counts as loading.
const LOAD_TIMEOUT_MS: Millis = Millis(300_000);

/// The groups that a planner has formed or repaired and that load weights.
///
/// A planner that takes over starts with none, so for a while twice as many may load.
#[derive(Debug, Default)]
pub(super) struct WeightLoads {
    started: BTreeMap<GroupId, GroupLoad>,
}

/// The load of one group.
#[derive(Clone, Copy, Debug)]
struct GroupLoad {
    epoch: Epoch,
    started_at: Instant,
    members: usize,
}

impl WeightLoads {
    /// Notes that members of a group may start to load.
    pub(super) fn start(&mut self, change: &RosterChange) {
        let load = GroupLoad {
            epoch: change.group.epoch,
            started_at: Instant::now(),
            members: change.joined.len(),
        };
        self.started.insert(change.group.id.clone(), load);
    }

    /// Returns the number of members that may start to load now.
    pub(super) fn budget(&self) -> usize {
        let loading: usize = self.started.values().map(|load| load.members).sum();
        MAX_LOADING_MEMBERS.saturating_sub(loading)
    }

    /// Tells whether no group is known to load.
    pub(super) fn is_idle(&self) -> bool {
        self.started.is_empty()
    }

    /// Counts the members that still load, and forgets the groups that are warm, that have
    /// ended, or that take too long.
    pub(super) async fn refresh(&mut self, node: &Node, roster: &Roster) {
        let mut still = BTreeMap::new();
        for (id, load) in std::mem::take(&mut self.started) {
            let Some(group) = roster.group(&id).filter(|group| load.goes_on(group)) else {
                continue;
            };
            let members = count_cold(node, group).await;
            if members > 0 {
                still.insert(id, GroupLoad { members, ..load });
            }
        }
        self.started = still;
    }
}

impl GroupLoad {
    fn goes_on(&self, group: &GroupRecord) -> bool {
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

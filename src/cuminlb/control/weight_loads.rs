//! [`WeightLoads`].

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::node::Node;

/// The number of groups that may load weights at once.
const MAX_LOADING_GROUPS: usize = 4;

/// The time after which a group no longer counts as loading.
const LOAD_TIMEOUT_MS: Millis = Millis(300_000);

/// The groups that a planner has formed or repaired and that load weights.
///
/// A planner that takes over starts with none, so for a while twice as many may load.
#[derive(Debug, Default)]
pub(super) struct WeightLoads {
    started: BTreeMap<GroupId, (Epoch, Instant)>,
}

impl WeightLoads {
    /// Notes that the members of a group may start to load.
    pub(super) fn start(&mut self, group: &GroupRecord) {
        let started = (group.epoch, Instant::now());
        self.started.insert(group.id.clone(), started);
    }

    /// Returns the number of groups that may start to load now.
    pub(super) fn budget(&self) -> usize {
        MAX_LOADING_GROUPS.saturating_sub(self.started.len())
    }

    /// Forgets the groups that are warm, that have ended, or that take too long.
    pub(super) async fn refresh(&mut self, node: &Arc<Node>, roster: &Roster) {
        let loading = self.started.iter().filter_map(|(id, (epoch, since))| {
            let group = roster.group(id)?;
            let goes_on = group.epoch == *epoch
                && group.state == GroupState::Intact
                && since.elapsed() < LOAD_TIMEOUT_MS.duration();
            goes_on.then_some(group)
        });
        let checks =
            loading.map(|group| async move { (group.id.clone(), is_warm(node, group).await) });
        let checked = join_all(checks).await;
        self.started
            .retain(|id, _| checked.iter().any(|(group, warm)| group == id && !warm));
    }
}

async fn is_warm(node: &Arc<Node>, group: &GroupRecord) -> bool {
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
    reports
        .iter()
        .all(|report| report.as_ref().is_ok_and(|report| report.warm))
}

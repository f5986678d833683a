//! Keeps one task for each group that this node may own.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use cuminlb_types::prelude::*;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::group_keeper::keep_group;
use crate::node::{FleetView, Node};

/// Starts a task for each group that this node is a candidate for, and ends those that it is no
/// candidate for any more. All tasks are joined before this returns.
pub async fn supervise_groups(node: Arc<Node>, stop: CancellationToken) {
    let mut view = node.view.subscribe();
    let mut running: HashMap<GroupId, CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let wanted = candidate_groups(&node, &view.borrow_and_update());
        let ids: HashSet<&GroupId> = wanted.iter().map(|(_, group, _)| group).collect();
        running.retain(|group, task_stop| {
            let keep = ids.contains(group);
            if !keep {
                task_stop.cancel();
            }
            keep
        });
        for (service, group, rank) in wanted {
            running.entry(group.clone()).or_insert_with(|| {
                let task_stop = stop.child_token();
                let node = Arc::clone(&node);
                tasks.spawn(keep_group(node, service, group, rank, task_stop.clone()));
                task_stop
            });
        }
        tokio::select! {
            () = stop.cancelled() => break,
            changed = view.changed() => if changed.is_err() { break },
            Some(_) = tasks.join_next() => {}
        }
    }
    while tasks.join_next().await.is_some() {}
}

/// Returns the groups that this node may own, each with the node's rank.
fn candidate_groups(node: &Node, view: &FleetView) -> Vec<(ServiceId, GroupId, usize)> {
    let mut found = Vec::new();
    for (service, roster) in &view.rosters {
        for group in &roster.roster.groups {
            let ranking = view.nodes().rank_owners(&group.id, Some(&group.zone));
            if let Some(rank) = ranking.rank_of(node.id()) {
                found.push((service.clone(), group.id.clone(), rank));
            }
        }
    }
    found
}

//! Runs one task for each group that this node may own.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlb_types::prelude::*;
use tokio_util::sync::CancellationToken;

use super::group_owner::own_group;
use super::keyed_tasks::KeyedTasks;
use crate::node::{FleetView, Node};

/// Runs a task for each group of which this node is a candidate owner, and cancels the task when it
/// is no longer one. All tasks are joined before this returns.
pub async fn supervise_groups(node: Arc<Node>, stop: CancellationToken) {
    let mut view = node.view.subscribe();
    let mut tasks = KeyedTasks::new(stop.clone());
    loop {
        let ranks = candidate_groups(&node, &view.borrow_and_update());
        tasks.set_keys(ranks.keys().cloned(), |key, task_stop| {
            // A running task keeps the rank that it started with: a change of rank is no reason to
            // release the lease.
            let rank = ranks.get(&key).copied().unwrap_or_default();
            let (service, group) = key;
            own_group(Arc::clone(&node), service, group, rank, task_stop)
        });
        tokio::select! {
            () = stop.cancelled() => break,
            changed = view.changed() => if changed.is_err() { break },
            () = tasks.join_next() => {}
        }
    }
    tasks.join_all().await;
}

/// Returns the groups that this node may own, each with the node's rank among the candidates.
fn candidate_groups(node: &Node, view: &FleetView) -> HashMap<(ServiceId, GroupId), usize> {
    let mut ranks = HashMap::new();
    for (service, roster) in &view.rosters {
        for group in &roster.roster.groups {
            let ranking = view.nodes().rank_owners(&group.id, Some(&group.zone));
            if let Some(rank) = ranking.rank_of(node.id()) {
                ranks.insert((service.clone(), group.id.clone()), rank);
            }
        }
    }
    ranks
}

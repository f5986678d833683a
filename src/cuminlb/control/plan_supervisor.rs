//! Keeps one task for each service that this node may plan.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use cuminlb_types::prelude::*;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::planner::plan_service;
use crate::node::{FleetView, Node};

/// Starts a task for each service that this node is a candidate for, and ends those that it is
/// no candidate for any more. All tasks are joined before this returns.
pub async fn supervise_plans(node: Arc<Node>, stop: CancellationToken) {
    let mut view = node.view.subscribe();
    let mut running: HashMap<ServiceId, CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let wanted = candidate_services(&node, &view.borrow_and_update());
        running.retain(|service, task_stop| {
            let keep = wanted.contains(service);
            if !keep {
                task_stop.cancel();
            }
            keep
        });
        for service in wanted {
            running.entry(service.clone()).or_insert_with(|| {
                let task_stop = stop.child_token();
                tasks.spawn(plan_service(Arc::clone(&node), service, task_stop.clone()));
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

fn candidate_services(node: &Node, view: &FleetView) -> HashSet<ServiceId> {
    let services = view.spec().map_or(&[][..], |spec| &spec.services);
    let ids = services.iter().map(|service| &service.id);
    ids.filter(|id| {
        view.nodes()
            .rank_owners(id, None)
            .rank_of(node.id())
            .is_some()
    })
    .cloned()
    .collect()
}

//! Runs one task for each service that this node may plan.

use std::collections::HashSet;
use std::sync::Arc;

use cuminlb_types::prelude::*;
use tokio_util::sync::CancellationToken;

use super::keyed_tasks::KeyedTasks;
use super::planner::plan_service;
use crate::node::{FleetView, Node};

/// Runs a task for each service of which this node is a candidate planner, and cancels the task
/// when it is no longer one. All tasks are joined before this returns.
pub async fn supervise_plans(node: Arc<Node>, stop: CancellationToken) {
    let mut view = node.view.subscribe();
    let mut tasks = KeyedTasks::new(stop.clone());
    loop {
        let services = candidate_services(&node, &view.borrow_and_update());
        tasks.set_keys(services, |service, task_stop| {
            plan_service(Arc::clone(&node), service, task_stop)
        });
        tokio::select! {
            () = stop.cancelled() => break,
            changed = view.changed() => if changed.is_err() { break },
            () = tasks.join_next() => {}
        }
    }
    tasks.join_all().await;
}

/// Returns the services of which this node is a candidate planner.
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

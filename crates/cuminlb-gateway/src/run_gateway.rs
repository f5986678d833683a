//! Start, operation and shutdown of a node.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_config::GatewaySettings;
use cuminlb_peer::serve_relay;
use cuminlb_routing::DrainSchedule;
use log::{info, warn};
use smol_str::ToSmolStr;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;
use crate::knowledge::{RelayService, register_node};
use crate::leading::{SharedLease, keep_lease, lead};
use crate::links::{serve_forwarding, watch_links};
use crate::listeners::{Listeners, LocalListeners, RequestListeners};
use crate::metrics::serve_metrics;
use crate::serving::{serve_callers, serve_ready, share_crashes, share_loads};
use crate::{Edges, GatewayError};

/// How often expired state is removed and the nodes are counted.
const CLEANUP_PERIOD: Duration = Duration::from_millis(250);

/// Runs a node until `stop` is cancelled, then waits for the requests in flight.
///
/// New `settings` take effect at once, except for the node's name and addresses.
///
/// # Errors
///
/// Returns [`GatewayError`] if an address can't be listened on or a task has panicked.
pub async fn run_gateway(
    settings: watch::Receiver<Arc<GatewaySettings>>,
    edges: Edges,
    stop: CancellationToken,
) -> Result<(), GatewayError> {
    let gateway = Gateway::new(settings, edges);
    let listeners = Listeners::bind(&gateway.settings).await?;
    info!(
        node:% = gateway.settings.id, zone:% = gateway.settings.zone,
        caller:% = gateway.settings.caller, store:% = gateway.settings.store;
        "node starts"
    );
    let leading_stop = CancellationToken::new();
    let callers_stop = CancellationToken::new();
    let background_stop = CancellationToken::new();
    let mut background = spawn_following(&gateway, &background_stop);
    spawn_endpoints(&mut background, &gateway, listeners.local, &background_stop);
    let mut leading_tasks = spawn_leading(&gateway, &leading_stop);
    let mut caller_tasks = spawn_serving(&gateway, listeners.requests, &callers_stop);

    stop.cancelled().await;
    info!("node stops");
    gateway.drain.start();
    leading_stop.cancel();
    gateway.drain.passed(DrainSchedule::closes_at).await;
    callers_stop.cancel();
    let mut outcome = join_all(&mut caller_tasks).await;
    outcome = outcome.and(join_all(&mut leading_tasks).await);
    background_stop.cancel();
    outcome = outcome.and(join_all(&mut background).await);
    gateway.background_tasks.close();
    info!("node has stopped");
    outcome
}

/// Starts the tasks that keep up what this node knows.
fn spawn_following(gateway: &Arc<Gateway>, stop: &CancellationToken) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let following = (Arc::clone(gateway), stop.clone());
    tasks.spawn(async move { following.0.follower.run(following.1).await });
    let registration = (Arc::clone(gateway), stop.clone());
    tasks.spawn(async move { register_node(&registration.0, registration.1).await });
    tasks.spawn(watch_links(Arc::clone(gateway), stop.clone()));
    tasks.spawn(share_loads(Arc::clone(gateway), stop.clone()));
    tasks.spawn(share_crashes(Arc::clone(gateway), stop.clone()));
    tasks.spawn(clean_up(Arc::clone(gateway), stop.clone()));
    tasks
}

/// Starts the tasks that respond to the load balancer, the metrics reader and the other nodes.
fn spawn_endpoints(
    tasks: &mut JoinSet<()>,
    gateway: &Arc<Gateway>,
    listeners: LocalListeners,
    stop: &CancellationToken,
) {
    let LocalListeners {
        ready,
        metrics,
        peer,
    } = listeners;
    tasks.spawn(serve_ready(Arc::clone(gateway), ready, stop.clone()));
    tasks.spawn(serve_metrics(Arc::clone(gateway), metrics, stop.clone()));
    let service = RelayService::new(Arc::clone(gateway));
    let token = gateway.peers.token();
    tasks.spawn(serve_relay(peer, token, service, stop.clone()));
}

/// Starts the tasks that lead while this node holds the lease.
fn spawn_leading(gateway: &Arc<Gateway>, stop: &CancellationToken) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let lease = SharedLease::new(None);
    tasks.spawn(lead(Arc::clone(gateway), lease.subscribe(), stop.clone()));
    tasks.spawn(keep_lease(Arc::clone(gateway), lease, stop.clone()));
    tasks
}

/// Starts the tasks that serve callers, and the requests that other nodes have this one forward.
fn spawn_serving(
    gateway: &Arc<Gateway>,
    listeners: RequestListeners,
    stop: &CancellationToken,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let RequestListeners { caller, forwarding } = listeners;
    tasks.spawn(serve_callers(Arc::clone(gateway), caller, stop.clone()));
    if let Some(listener) = forwarding {
        tasks.spawn(serve_forwarding(
            Arc::clone(gateway),
            listener,
            stop.clone(),
        ));
    }
    tasks
}

async fn join_all(tasks: &mut JoinSet<()>) -> Result<(), GatewayError> {
    let mut outcome = Ok(());
    while let Some(joined) = tasks.join_next().await {
        if let Err(error) = joined {
            warn!("a node task failed: {error}");
            let reason = error.to_smolstr();
            outcome = outcome.and(Err(GatewayError::TaskPanicked { reason }));
        }
    }
    outcome
}

/// Removes expired state and follows the number of nodes periodically, until `stop` is cancelled.
async fn clean_up(gateway: Arc<Gateway>, stop: CancellationToken) {
    let mut timer = interval(CLEANUP_PERIOD);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        let now = Instant::now();
        gateway.knowledge.remove_expired(now);
        gateway.update_retry_share();
        gateway.pool.close_expired(now);
        gateway.forwarders.close_expired(now);
        gateway.crash_board.remove_expired(now);
        gateway.retry_times.remove_expired(now);
        let directory = gateway.knowledge.directory();
        gateway
            .loads
            .retain(|id| directory.find_instance(id).is_some());
    }
}

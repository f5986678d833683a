//! Start, operation and shutdown of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_config::GatewaySettings;
use cuminlb_peer::serve_relay;
use log::{info, warn};
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;
use crate::knowledge::{RelayService, register_node};
use crate::leading::{SharedLease, keep_lease, lead};
use crate::links::{serve_forwarding, watch_links};
use crate::metrics::serve_metrics;
use crate::serving::{serve_callers, serve_ready, share_crashes, share_loads};
use crate::{Edges, GatewayError};

/// How long a node that was asked to stop continues to accept callers, because the load balancer
/// notices only with its next readiness check.
const DRAIN_DELAY: Duration = Duration::from_millis(3_000);

/// Fraction of the time until the process is killed in which requests may still run.
const DRAIN_FRACTION: f64 = 0.92;

/// How often expired state is removed.
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
    let caller_listener = bind(gateway.settings.caller).await?;
    let ready_listener = bind(gateway.settings.ready).await?;
    let metrics_listener = bind(gateway.settings.metrics).await?;
    let peer_listener = bind(gateway.settings.peer).await?;
    let forwarding_listener = match gateway.settings.forwarding {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    info!(
        node:% = gateway.settings.id, zone:% = gateway.settings.zone,
        caller:% = gateway.settings.caller, store:% = gateway.settings.store;
        "node starts"
    );

    let leading_stop = CancellationToken::new();
    let callers_stop = CancellationToken::new();
    let background_stop = CancellationToken::new();
    let mut background = JoinSet::new();
    let following = (Arc::clone(&gateway), background_stop.clone());
    background.spawn(async move { following.0.follower.run(following.1).await });
    let registration = (Arc::clone(&gateway), background_stop.clone());
    background.spawn(async move { register_node(&registration.0, registration.1).await });
    background.spawn(serve_ready(
        Arc::clone(&gateway),
        ready_listener,
        background_stop.clone(),
    ));
    background.spawn(serve_metrics(
        Arc::clone(&gateway),
        metrics_listener,
        background_stop.clone(),
    ));
    background.spawn(serve_relay(
        peer_listener,
        gateway.peers.token(),
        RelayService::new(Arc::clone(&gateway)),
        background_stop.clone(),
    ));
    background.spawn(watch_links(Arc::clone(&gateway), background_stop.clone()));
    background.spawn(share_loads(Arc::clone(&gateway), background_stop.clone()));
    background.spawn(share_crashes(Arc::clone(&gateway), background_stop.clone()));
    background.spawn(clean_up(Arc::clone(&gateway), background_stop.clone()));
    let mut leading_tasks = JoinSet::new();
    let lease = SharedLease::new(None);
    leading_tasks.spawn(lead(
        Arc::clone(&gateway),
        lease.subscribe(),
        leading_stop.clone(),
    ));
    leading_tasks.spawn(keep_lease(
        Arc::clone(&gateway),
        lease,
        leading_stop.clone(),
    ));
    let grace = gateway.settings.bounds.grace_ms.duration();
    let drain_timeout = grace.mul_f64(DRAIN_FRACTION).saturating_sub(DRAIN_DELAY);
    let mut caller_tasks = JoinSet::new();
    caller_tasks.spawn(serve_callers(
        Arc::clone(&gateway),
        caller_listener,
        callers_stop.clone(),
        drain_timeout,
    ));

    if let Some(listener) = forwarding_listener {
        caller_tasks.spawn(serve_forwarding(
            Arc::clone(&gateway),
            listener,
            callers_stop.clone(),
            drain_timeout,
        ));
    }

    stop.cancelled().await;
    info!("node stops");
    gateway.start_draining();
    leading_stop.cancel();
    sleep(DRAIN_DELAY).await;
    callers_stop.cancel();
    let mut outcome = join_all(&mut caller_tasks).await;
    outcome = outcome.and(join_all(&mut leading_tasks).await);
    background_stop.cancel();
    outcome = outcome.and(join_all(&mut background).await);
    gateway.background_tasks.close();
    info!("node has stopped");
    outcome
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|error| {
        let reason = error.to_smolstr();
        GatewayError::Bind { address, reason }
    })
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

/// Removes expired state periodically, until `stop` is cancelled.
async fn clean_up(gateway: Arc<Gateway>, stop: CancellationToken) {
    let mut timer = interval(CLEANUP_PERIOD);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        let now = Instant::now();
        gateway.knowledge.remove_expired(now);
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

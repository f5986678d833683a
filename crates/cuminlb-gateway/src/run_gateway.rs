//! [`run_gateway`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::StoreTable;
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
use crate::knowledge::{RelayService, follow_table, register_node};
use crate::leading::{SharedLease, keep_lease, lead};
use crate::metrics::serve_metrics;
use crate::serving::{serve_callers, serve_ready};
use crate::{Edges, GatewayError};

/// How long a node that is told to stop goes on taking callers, because the balancer finds out
/// only when it asks again.
const LEAVING_PAUSE: Duration = Duration::from_millis(3_000);

/// The part of the time until the process is killed in which requests may still run.
const FINISH_PART: f64 = 0.92;

/// How often what is over is forgotten.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(250);

/// Runs a node until `stop` is cancelled, and then lets the requests in flight end.
///
/// New `settings` take effect at once, but for the node's name and addresses.
///
/// # Errors
///
/// Returns [`GatewayError`] when an address can't be listened on or a task has panicked.
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
    info!(
        node:% = gateway.settings.id, zone:% = gateway.settings.zone,
        caller:% = gateway.settings.caller, store:% = gateway.settings.store;
        "node starts"
    );

    let leading_stop = CancellationToken::new();
    let front_stop = CancellationToken::new();
    let rest_stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    for table in StoreTable::ALL {
        let gateway = Arc::clone(&gateway);
        let stop = rest_stop.clone();
        tasks.spawn(async move { follow_table(&gateway, table, stop).await });
    }
    let registering = (Arc::clone(&gateway), rest_stop.clone());
    tasks.spawn(async move { register_node(&registering.0, registering.1).await });
    tasks.spawn(serve_ready(
        Arc::clone(&gateway),
        ready_listener,
        rest_stop.clone(),
    ));
    tasks.spawn(serve_metrics(
        Arc::clone(&gateway),
        metrics_listener,
        rest_stop.clone(),
    ));
    tasks.spawn(serve_relay(
        peer_listener,
        gateway.peers.token(),
        RelayService::new(Arc::clone(&gateway)),
        rest_stop.clone(),
    ));
    tasks.spawn(keep_house(Arc::clone(&gateway), rest_stop.clone()));
    let mut leading = JoinSet::new();
    let lease = SharedLease::new(None);
    leading.spawn(lead(
        Arc::clone(&gateway),
        lease.subscribe(),
        leading_stop.clone(),
    ));
    leading.spawn(keep_lease(
        Arc::clone(&gateway),
        lease,
        leading_stop.clone(),
    ));
    let grace = gateway.settings.bounds.grace_ms.duration();
    let cut = grace.mul_f64(FINISH_PART).saturating_sub(LEAVING_PAUSE);
    let mut front = JoinSet::new();
    front.spawn(serve_callers(
        Arc::clone(&gateway),
        caller_listener,
        front_stop.clone(),
        cut,
    ));

    stop.cancelled().await;
    info!("node stops");
    gateway.start_draining();
    leading_stop.cancel();
    sleep(LEAVING_PAUSE).await;
    front_stop.cancel();
    let mut outcome = join_all(&mut front).await;
    outcome = outcome.and(join_all(&mut leading).await);
    rest_stop.cancel();
    outcome = outcome.and(join_all(&mut tasks).await);
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
            warn!("a task of the node ended badly: {error}");
            let reason = error.to_smolstr();
            outcome = outcome.and(Err(GatewayError::TaskPanicked { reason }));
        }
    }
    outcome
}

/// Forgets what is over, until `stop` is cancelled.
async fn keep_house(gateway: Arc<Gateway>, stop: CancellationToken) {
    let mut timer = interval(HOUSEKEEPING_PERIOD);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        let now = Instant::now();
        gateway.knowledge.remove_expired(now);
        gateway.pool.close_old(now);
        let directory = gateway.knowledge.directory();
        gateway
            .loads
            .retain(|id| directory.find_instance(id).is_some());
    }
}

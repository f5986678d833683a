//! Starts the tasks of a node, and drains and stops them at shutdown.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_caller::{OperatorToken, serve_callers, serve_operators};
use cuminlb_config::NodeSettings;
use cuminlb_events::EventKind;
use cuminlb_peer::{PeerToken, serve_peers};
use cuminlb_types::prelude::*;
use log::{info, warn};
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::RunError;
use crate::control::{
    poll_fleet, poll_instances, poll_peers_in_outage, release_slots, supervise_groups,
    supervise_peers, supervise_plans,
};
use crate::node::Node;
use crate::operating::OperatorService;
use crate::serving::claims::ClaimClient;
use crate::serving::{PeerService, Router};

/// The maximum time that callers have at shutdown to receive the outcome of aborted requests.
const MAX_ABORT_MARGIN: Duration = Duration::from_secs(1);

/// Runs a node until `stop` is cancelled, and then shuts it down gracefully.
///
/// The shutdown first marks the node as not ready, then refuses new requests and lets those in
/// flight complete. Shortly before the drain timeout, the remaining requests are aborted and
/// their callers receive the actual run state. Only then does the node record the ends of its
/// claims, release its leases and close its connections to peers. Every task is joined.
///
/// # Errors
///
/// Returns [`RunError`] if a port can't be bound or a task panicked.
pub async fn run_node(settings: NodeSettings, stop: CancellationToken) -> Result<(), RunError> {
    let listen = settings.listen.clone();
    let security = settings.security.clone();
    let drain_timeout_ms = settings.limits.drain_timeout_ms;
    let peer_listener =
        TcpListener::bind(listen.peer)
            .await
            .map_err(|error| RunError::BindPeers {
                address: listen.peer,
                reason: error.to_smolstr(),
            })?;
    let (node, released_slots) = Node::new(settings);
    let node = Arc::new(node);
    node.events.record(EventKind::NodeStarted {
        incarnation: node.incarnation,
    });
    info!(
        "node {} is starting as incarnation {}",
        node.id(),
        node.incarnation
    );

    let control_stop = CancellationToken::new();
    let mut control_tasks = JoinSet::new();
    control_tasks.spawn(poll_fleet(Arc::clone(&node), control_stop.clone()));
    control_tasks.spawn(poll_instances(Arc::clone(&node), control_stop.clone()));
    control_tasks.spawn(supervise_peers(Arc::clone(&node), control_stop.clone()));
    control_tasks.spawn(poll_peers_in_outage(
        Arc::clone(&node),
        control_stop.clone(),
    ));
    control_tasks.spawn(supervise_plans(Arc::clone(&node), control_stop.clone()));
    control_tasks.spawn(supervise_groups(Arc::clone(&node), control_stop.clone()));
    control_tasks.spawn(release_slots(
        Arc::clone(&node),
        released_slots,
        control_stop.clone(),
    ));
    let peer_service = PeerService::new(Arc::clone(&node));
    let peer_token = PeerToken::new(security.peer_token.into_text());
    control_tasks.spawn(serve_peers(
        peer_listener,
        peer_token,
        peer_service,
        control_stop.clone(),
    ));

    let serving_stop = CancellationToken::new();
    let admission_closed = CancellationToken::new();
    let (claim_client, claim_tasks) = ClaimClient::start(&node.table);
    let router = Router::new(Arc::clone(&node), claim_client, admission_closed.clone());
    let caller_server = serve_callers(
        listen.caller,
        router.clone(),
        serving_stop.clone(),
        abort_margin(drain_timeout_ms).into(),
    );
    let operator_server = serve_operators(
        listen.operator,
        OperatorToken::new(security.operator_token.into_text()),
        OperatorService::new(Arc::clone(&node)),
        serving_stop.clone(),
    );
    let drain = async {
        stop.cancelled().await;
        info!("node {} is draining", node.id());
        node.start_draining();
        node.events.record(EventKind::NodeDraining);
        // Gives the load balancer time to see that the node is not ready before requests are
        // refused.
        tokio::time::sleep(node.settings.control.poll_period_ms.duration()).await;
        admission_closed.cancel();
        // The port stays open, so that new callers get a proper refusal while the requests in
        // flight complete.
        let abort_after = drain_timeout_ms.duration() - abort_margin(drain_timeout_ms);
        if tokio::time::timeout(abort_after, router.join())
            .await
            .is_err()
        {
            warn!("node {} is aborting the remaining requests", node.id());
            router.abort_requests();
        }
        serving_stop.cancel();
        Ok(())
    };
    let serving_result = tokio::try_join!(caller_server, operator_server, drain);

    router.abort_requests();
    router.join().await;
    drop(router);
    claim_tasks.stop().await;
    control_stop.cancel();
    let mut outcome = serving_result.map(|_| ()).map_err(RunError::from);
    while let Some(result) = control_tasks.join_next().await {
        if let Err(error) = result {
            warn!("a task of the node failed: {error}");
            outcome = outcome.and(Err(RunError::TaskPanicked {
                reason: error.to_smolstr(),
            }));
        }
    }
    info!("node {} has stopped", node.id());
    outcome
}

/// Returns how long before the drain timeout the remaining requests are aborted.
fn abort_margin(drain_timeout_ms: Millis) -> Duration {
    (drain_timeout_ms.duration() / 4).min(MAX_ABORT_MARGIN)
}

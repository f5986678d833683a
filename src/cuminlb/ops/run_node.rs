//! [`run_node`].

use std::sync::Arc;

use cuminlb_caller::{OperatorToken, serve_callers, serve_operators};
use cuminlb_config::NodeSettings;
use cuminlb_events::EventKind;
use cuminlb_peer::{PeerToken, serve_peers};
use log::{info, warn};
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::RunError;
use crate::control::{
    poll_fleet, poll_instances, release_slots, supervise_groups, supervise_peers, supervise_plans,
    watch_outage,
};
use crate::node::Node;
use crate::operating::OperatorService;
use crate::serving::claims::ClaimClient;
use crate::serving::{PeerService, Router};

/// Runs a node until `stop` is cancelled, and then shuts it down gracefully.
///
/// The shutdown first turns the node unready, then lets the requests in flight end, and only
/// then gives up its leases and ends its conversations. Every task is joined.
///
/// # Errors
///
/// Returns [`RunError`] when a port can't be listened on or a task panicked.
pub async fn run_node(settings: NodeSettings, stop: CancellationToken) -> Result<(), RunError> {
    let listen = settings.listen.clone();
    let security = settings.security.clone();
    let drain_ms = settings.limits.drain_timeout_ms;
    let peers = TcpListener::bind(listen.peer)
        .await
        .map_err(|error| RunError::BindPeers {
            address: listen.peer,
            reason: error.to_smolstr(),
        })?;
    let (node, released) = Node::new(settings);
    let node = Arc::new(node);
    node.events.record(EventKind::NodeStarted {
        incarnation: node.incarnation,
    });
    info!(
        "node {} starts as incarnation {}",
        node.id(),
        node.incarnation
    );

    let control_stop = CancellationToken::new();
    let mut control = JoinSet::new();
    control.spawn(poll_fleet(Arc::clone(&node), control_stop.clone()));
    control.spawn(poll_instances(Arc::clone(&node), control_stop.clone()));
    control.spawn(supervise_peers(Arc::clone(&node), control_stop.clone()));
    control.spawn(watch_outage(Arc::clone(&node), control_stop.clone()));
    control.spawn(supervise_plans(Arc::clone(&node), control_stop.clone()));
    control.spawn(supervise_groups(Arc::clone(&node), control_stop.clone()));
    control.spawn(release_slots(
        Arc::clone(&node),
        released,
        control_stop.clone(),
    ));
    let peer_service = PeerService::new(Arc::clone(&node));
    let peer_token = PeerToken::new(security.peer_token);
    control.spawn(serve_peers(
        peers,
        peer_token,
        peer_service,
        control_stop.clone(),
    ));

    let serving_stop = CancellationToken::new();
    let (claims, claim_tasks) = ClaimClient::start(&node.table);
    let router = Router::new(Arc::clone(&node), claims, serving_stop.clone());
    let callers = serve_callers(
        listen.caller,
        router.clone(),
        serving_stop.clone(),
        drain_ms,
    );
    let operators = serve_operators(
        listen.operator,
        OperatorToken::new(security.operator_token),
        OperatorService::new(Arc::clone(&node)),
        serving_stop.clone(),
    );
    let drain = async {
        stop.cancelled().await;
        info!("node {} drains", node.id());
        node.start_draining();
        node.events.record(EventKind::NodeDraining);
        // The balancer sees that the node is unready before the port closes.
        tokio::time::sleep(node.settings.control.poll_period_ms.duration()).await;
        serving_stop.cancel();
        Ok(())
    };
    let served = tokio::try_join!(callers, operators, drain);

    router.join().await;
    drop(router);
    claim_tasks.stop().await;
    control_stop.cancel();
    let mut outcome = served.map(|_| ()).map_err(RunError::from);
    while let Some(joined) = control.join_next().await {
        if let Err(error) = joined {
            warn!("a task of the node ended badly: {error}");
            outcome = outcome.and(Err(RunError::TaskPanicked {
                reason: error.to_smolstr(),
            }));
        }
    }
    info!("node {} has ended", node.id());
    outcome
}

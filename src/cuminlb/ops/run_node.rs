//! [`run_node`].

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

/// The longest time that callers have for reading how their requests ended.
const MAX_CUT_OFF_MARGIN: Duration = Duration::from_secs(1);

/// Runs a node until `stop` is cancelled, and then shuts it down gracefully.
///
/// The shutdown first turns the node unready, then refuses new requests and lets those in flight
/// end. Shortly before the drain timeout the rest are told the truth about them. Only then the
/// node records the ends of its claims, gives up its leases and ends its conversations. Every
/// task is joined.
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
    control.spawn(poll_peers_in_outage(
        Arc::clone(&node),
        control_stop.clone(),
    ));
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
    let closed = CancellationToken::new();
    let (claims, claim_tasks) = ClaimClient::start(&node.table);
    let router = Router::new(Arc::clone(&node), claims, closed.clone());
    let callers = serve_callers(
        listen.caller,
        router.clone(),
        serving_stop.clone(),
        cut_off_margin(drain_ms).into(),
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
        // The balancer sees that the node is unready before requests are refused.
        tokio::time::sleep(node.settings.control.poll_period_ms.duration()).await;
        closed.cancel();
        // The port stays open, so that callers are refused in words while others are answered.
        let cut_off_after = drain_ms.duration() - cut_off_margin(drain_ms);
        if tokio::time::timeout(cut_off_after, router.join())
            .await
            .is_err()
        {
            warn!("node {} ends the requests that are left", node.id());
            router.abort_requests();
        }
        serving_stop.cancel();
        Ok(())
    };
    let served = tokio::try_join!(callers, operators, drain);

    router.abort_requests();
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

/// Returns the time before the drain timeout at which the requests that are left are told so.
fn cut_off_margin(drain_ms: Millis) -> Duration {
    (drain_ms.duration() / 4).min(MAX_CUT_OFF_MARGIN)
}

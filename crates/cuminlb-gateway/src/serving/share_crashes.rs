//! The task that tells the other nodes the crashes that this one has seen, and learns theirs.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_replica::{RelayLane, RowOrigin};
use cuminlb_routing::CrashReport;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::debug;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;

/// The minimum time between two exchanges, so that what is seen at about the same time is told at once.
const MIN_PERIOD: Duration = Duration::from_millis(200);

/// The time after which a relay repeats an exchange although there is no news, and any node one that
/// failed.
const REPEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// Tells the relay of this node, or as a relay the other nodes, about crashes until `stop` is cancelled.
pub(crate) async fn share_crashes(gateway: Arc<Gateway>, stop: CancellationToken) {
    let share = async {
        let mut changes = gateway.crash_board.changes();
        let mut has_failed = false;
        loop {
            let is_news = timeout(REPEAT_PERIOD, changes.changed()).await.is_ok();
            changes.mark_unchanged();
            let is_repeating = gateway.follower.follows_store()
                && gateway.crash_board.needs_repeating(Instant::now());
            if is_news || has_failed || is_repeating {
                has_failed = !exchange_with_peers(&gateway).await;
            }
            sleep(MIN_PERIOD).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = share => {}
    }
}

/// Reports crashes to all peers of this node, and records those that they know of; returns whether all
/// of them responded.
async fn exchange_with_peers(gateway: &Gateway) -> bool {
    let report = gateway.crash_board.report(Instant::now());
    let exchanges = peers(gateway).into_iter().map(|peer| {
        let report = report.clone();
        async move {
            let told = exchange(gateway, &peer, report).await;
            if let Some(told) = &told {
                gateway.crash_board.merge(told, Instant::now());
            }
            told.is_some()
        }
    });
    let responses = join_all(exchanges).await;
    responses.into_iter().all(|has_responded| has_responded)
}

/// Returns the nodes that this one tells about crashes: its relay, or else the other relays, the nodes
/// that follow it and the leader.
fn peers(gateway: &Gateway) -> Vec<NodeId> {
    if let RowOrigin::Relay(relay) = gateway.follower.origin() {
        return vec![relay];
    }
    let now = Instant::now();
    let mut peers = gateway.follower.other_relays(now);
    peers.extend(gateway.load_board.followers(now));
    peers.extend(gateway.knowledge.leader());
    peers.sort();
    peers.dedup();
    peers.retain(|peer| *peer != gateway.settings.id);
    peers
}

async fn exchange(gateway: &Gateway, peer: &NodeId, report: CrashReport) -> Option<CrashReport> {
    let directory = gateway.knowledge.directory();
    let link = gateway.peers.link(&directory, peer, RelayLane::News)?;
    match link.exchange_crashes(report).await {
        Ok(told) => Some(told),
        Err(error) => {
            debug!(node:% = peer; "failed to exchange crashes: {error}");
            None
        }
    }
}

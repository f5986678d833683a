//! The task that tells the other nodes the load of this one, and learns theirs.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_config::LoadSettings;
use cuminlb_peer::{LoadReport, LoadScope, RelayLink};
use cuminlb_replica::{RelayLane, RowOrigin};
use cuminlb_routing::{InFlightCount, LossSource, LostHead};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::debug;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;

/// Exchanges load with the relay that this node follows, or as a relay with the others, until
/// `stop` is cancelled, and at once when this node has found a group head lost. Nodes without
/// callers do so too, because a relay knows its followers by it.
pub(crate) async fn share_loads(gateway: Arc<Gateway>, stop: CancellationToken) {
    let exchange = async {
        loop {
            tokio::select! {
                () = sleep(exchange_period(&gateway)) => {}
                () = gateway.loss_found.notified() => {}
            }
            match gateway.follower.origin() {
                RowOrigin::Relay(relay) => exchange_with_relay(&gateway, &relay).await,
                RowOrigin::Store => exchange_among_relays(&gateway).await,
                RowOrigin::Undecided => {}
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = exchange => {}
    }
}

/// Returns the interval until the next exchange. While slots are short, groups are chosen by small
/// differences, and old reports lead many nodes to the same group.
fn exchange_period(gateway: &Gateway) -> Duration {
    let short_period_ms = gateway.live_settings().load.report_period_ms;
    let usual_period_ms = LoadSettings::USUAL_REPORT_PERIOD_MS;
    let is_shortened =
        short_period_ms < usual_period_ms && gateway.is_short_of_slots(Instant::now());
    let period_ms = if is_shortened {
        short_period_ms
    } else {
        usual_period_ms
    };
    period_ms.duration()
}

/// Reports the load of this node to its relay.
async fn exchange_with_relay(gateway: &Gateway, relay: &NodeId) {
    let counts = gateway.loads.in_flight_counts();
    if let Some(mut told) = exchange(gateway, relay, LoadScope::Node, counts).await {
        gateway.take_reported_losses(&mut told, LossSource::OwnRelay);
        gateway.load_board.record_told(told, Instant::now());
    }
}

/// Reports the load of this node and its followers to the other relays.
async fn exchange_among_relays(gateway: &Gateway) {
    let now = Instant::now();
    let own = gateway.loads.in_flight_counts();
    let mut sums = gateway.load_board.own_sums(&own, now);
    let lost = gateway.lost_heads.for_relays(now);
    sums.extend(lost.iter().filter_map(LostHead::to_entry));
    let relays = gateway.follower.other_relays(now);
    let exchanges = relays.iter().map(|relay| {
        let sums = sums.clone();
        async move {
            (
                relay,
                exchange(gateway, relay, LoadScope::Relay, sums).await,
            )
        }
    });
    for (relay, told) in join_all(exchanges).await {
        if let Some(mut told) = told {
            gateway.take_reported_losses(&mut told, LossSource::Finder);
            let now = Instant::now();
            gateway.load_board.record_relay(relay, told, now);
        }
    }
    gateway.load_board.refresh(Instant::now());
}

async fn exchange(
    gateway: &Gateway,
    peer: &NodeId,
    scope: LoadScope,
    counts: Vec<InFlightCount>,
) -> Option<Vec<InFlightCount>> {
    let directory = gateway.knowledge.directory();
    let link: Arc<RelayLink> = gateway.peers.link(&directory, peer, RelayLane::News)?;
    let report = LoadReport {
        node: gateway.settings.id.clone(),
        scope,
        counts,
    };
    match link.exchange_loads(report).await {
        Ok(told) => Some(told),
        Err(error) => {
            debug!(node:% = peer; "failed to exchange loads: {error}");
            None
        }
    }
}

//! Combines all metrics of a node in one registry and encodes them for a scrape.

use std::sync::Arc;

use cuminlb_events::EventLog;
use cuminlb_peer::CallCounts;
use log::error;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::state_gauges::StateGauges;
use super::{PeerMetrics, PlatformMetrics, RequestMetrics};
use crate::node::Node;

/// All metrics of a node, with the registry that exports them.
#[derive(Debug)]
pub struct NodeMetrics {
    /// Metrics of the requests of callers.
    pub requests: RequestMetrics,
    /// Metrics of the calls to the platform.
    pub platform: PlatformMetrics,
    /// Metrics of the messages received from peers.
    pub peers: PeerMetrics,
    /// Counts of the calls to peers, which the peer links update.
    pub peer_calls: Arc<CallCounts>,
    state_gauges: StateGauges,
    registry: Registry,
}

impl NodeMetrics {
    /// Creates and registers the metrics of a node, including those of its event log.
    pub fn new(events: &EventLog) -> Self {
        let requests = RequestMetrics::default();
        let platform = PlatformMetrics::default();
        let peers = PeerMetrics::default();
        let state_gauges = StateGauges::default();
        let mut registry = Registry::with_prefix("cuminlb");
        requests.register(&mut registry);
        platform.register(&mut registry);
        peers.register(&mut registry);
        state_gauges.register(&mut registry);
        events.metrics().register(&mut registry);
        Self {
            requests,
            platform,
            peers,
            peer_calls: Arc::default(),
            state_gauges,
            registry,
        }
    }

    /// Updates the gauges from the state of `node` and returns all metrics in the Prometheus text
    /// format.
    pub fn encode(&self, node: &Node) -> String {
        node.flush_denials();
        self.state_gauges.update(node);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            error!("failed to encode the metrics: {error}");
        }
        text
    }
}

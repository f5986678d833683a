//! [`NodeMetrics`].

use std::sync::Arc;

use cuminlb_events::EventLog;
use cuminlb_peer::CallCounts;
use log::error;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::state_gauges::StateGauges;
use super::{PeerMetrics, PlatformMetrics, RequestMetrics};
use crate::node::Node;

/// The metrics of one node.
#[derive(Debug)]
pub struct NodeMetrics {
    /// Requests of callers.
    pub requests: RequestMetrics,
    /// Calls to the platform.
    pub platform: PlatformMetrics,
    /// Messages of peers.
    pub peers: PeerMetrics,
    /// Calls to peers.
    pub peer_calls: Arc<CallCounts>,
    state: StateGauges,
    registry: Registry,
}

impl NodeMetrics {
    /// Creates the metrics of a node with this event log.
    pub fn new(events: &EventLog) -> Self {
        let requests = RequestMetrics::default();
        let platform = PlatformMetrics::default();
        let peers = PeerMetrics::default();
        let state = StateGauges::default();
        let mut registry = Registry::with_prefix("cuminlb");
        requests.register(&mut registry);
        platform.register(&mut registry);
        peers.register(&mut registry);
        state.register(&mut registry);
        events.metrics().register(&mut registry);
        Self {
            requests,
            platform,
            peers,
            peer_calls: Arc::default(),
            state,
            registry,
        }
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn encode(&self, node: &Node) -> String {
        node.flush_denials();
        self.state.read(node);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            error!("the metrics can't be encoded: {error}");
        }
        text
    }
}

//! Metrics of the messages that a node receives from its peers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Counts the messages that peers send to this node.
#[derive(Clone, Debug, Default)]
pub struct PeerMetrics {
    messages_received: Family<MessageLabels, Counter>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct MessageLabels {
    message: &'static str,
}

impl PeerMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "peer_messages_received",
            "Messages received from peers, by message",
            self.messages_received.clone(),
        );
    }

    /// Counts a received message; `message` is the value of its label.
    pub fn record_received(&self, message: &'static str) {
        self.messages_received
            .get_or_create(&MessageLabels { message })
            .inc();
    }
}

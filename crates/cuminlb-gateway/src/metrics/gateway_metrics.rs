//! [`GatewayMetrics`].

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// What a node counts and times.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    /// Requests by route and how they ended.
    pub(crate) requests: Family<RequestLabels, Counter>,
    /// The time to the first byte of an answer.
    pub(crate) first_byte_latency: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// The longest pause between two events of a stream.
    pub(crate) longest_pauses: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Repeats that were allowed, and those that were not.
    pub(crate) repeats: Counter,
    pub(crate) repeats_denied: Counter,
    /// Streams that went on at another group.
    pub(crate) stream_moves: Counter,
    /// Heads that fell silent.
    pub(crate) suspicions: Counter,
    /// Connections to instances that were opened.
    pub(crate) connections: Counter,
    /// Orders to instances.
    pub(crate) orders: Counter,
    /// Calls to the store by table, and how they ended.
    pub(crate) store_calls: Family<StoreLabels, Counter>,
    /// Peers that were asked for rows.
    pub(crate) peer_fetches: Counter,
    /// Whether this node leads.
    pub(crate) leads: Gauge,
    /// The version of the catalog in force.
    pub(crate) catalog: Gauge,
    /// Groups that serve.
    pub(crate) groups: Gauge,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// The route; empty where none was found.
    pub(crate) route: String,
    /// The status or the code of the refusal.
    pub(crate) outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct RouteLabels {
    pub(crate) route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct StoreLabels {
    pub(crate) table: String,
    pub(crate) outcome: String,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            first_byte_latency: Family::new_with_constructor(latency_histogram),
            longest_pauses: Family::new_with_constructor(latency_histogram),
            repeats: Counter::default(),
            repeats_denied: Counter::default(),
            stream_moves: Counter::default(),
            suspicions: Counter::default(),
            connections: Counter::default(),
            orders: Counter::default(),
            store_calls: Family::default(),
            peer_fetches: Counter::default(),
            leads: Gauge::default(),
            catalog: Gauge::default(),
            groups: Gauge::default(),
        }
    }
}

impl GatewayMetrics {
    /// Returns a registry that encodes all of them.
    pub(super) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("cuminlb");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register_with_unit(
            "first_byte",
            "Time to the first byte of an answer",
            Unit::Seconds,
            self.first_byte_latency.clone(),
        );
        registry.register_with_unit(
            "longest_pause",
            "Longest pause between two events of a stream",
            Unit::Seconds,
            self.longest_pauses.clone(),
        );
        registry.register("repeats", "Repeats of requests", self.repeats.clone());
        let denied = "Repeats for which no budget was left";
        registry.register("repeats_denied", denied, self.repeats_denied.clone());
        let stream_moves = "Streams that went on at another group";
        registry.register("stream_moves", stream_moves, self.stream_moves.clone());
        registry.register(
            "suspicions",
            "Heads that fell silent",
            self.suspicions.clone(),
        );
        let connections = "Connections opened to instances";
        registry.register("connections", connections, self.connections.clone());
        registry.register("orders", "Orders to instances", self.orders.clone());
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        let asks = "Peers asked for rows while the store gave none";
        registry.register("peer_asks", asks, self.peer_fetches.clone());
        registry.register("leads", "Whether this node leads", self.leads.clone());
        registry.register("catalog_version", "Catalog in force", self.catalog.clone());
        registry.register("groups_serving", "Groups that serve", self.groups.clone());
        registry
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

impl RouteLabels {
    pub(crate) fn new(route: &str) -> Self {
        let route = route.to_owned();
        Self { route }
    }
}

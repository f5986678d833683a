//! The metrics of a node and their labels.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::admission_metrics::AdmissionMetrics;
use super::retry_budget_metrics::RetryBudgetMetrics;

/// The counters, gauges and histograms of a node.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    /// Requests by route and outcome.
    pub(crate) requests: Family<RequestLabels, Counter>,
    /// Time to the first byte of a response, in seconds.
    pub(crate) first_byte_latency: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Longest pause between two events of a stream, in seconds.
    pub(crate) longest_pauses: Family<RouteLabels, Histogram, fn() -> Histogram>,
    /// Retries that the budget allowed, and those that it denied.
    pub(crate) retries: Counter,
    pub(crate) retries_denied: Counter,
    pub(crate) retry_budget: RetryBudgetMetrics,
    pub(crate) admission: AdmissionMetrics,
    /// Streams that failed over to another group.
    pub(crate) stream_moves: Counter,
    /// Group heads that fell silent.
    pub(crate) suspicions: Counter,
    /// Group heads that other nodes reported lost.
    pub(crate) heads_reported_lost: Counter,
    /// Instances that were found to have crashed after a connection to them broke.
    pub(crate) crashes: Counter,
    /// Requests that were not sent because they contain what crashes instances.
    pub(crate) quarantine_refusals: Counter,
    /// What is quarantined because it crashes instances.
    pub(crate) quarantined_causes: Gauge,
    /// Connections opened to instances.
    pub(crate) connections: Counter,
    /// Connections to instances that could not be opened.
    pub(crate) connections_refused: Counter,
    /// Connections opened to nodes that forward requests.
    pub(crate) forwarder_connections: Counter,
    /// Connections to nodes that forward requests which could not be opened.
    pub(crate) forwarder_connections_refused: Counter,
    /// Requests of this node that another node has forwarded.
    pub(crate) forwarded: Counter,
    /// Requests of other nodes that this node has forwarded.
    pub(crate) forwarded_for_others: Counter,
    /// Connections that were closed since the head of a request was too long or couldn't be held.
    pub(crate) heads_refused: Counter,
    /// Losses of the links to all instances.
    pub(crate) link_losses: Counter,
    /// Whether the links to all instances are lost.
    pub(crate) links_lost: Gauge,
    /// The instances that only other nodes reach.
    pub(crate) unreached: Gauge,
    /// Changes of the rate limits that instances state.
    pub(crate) limit_changes: Counter,
    /// The instances that state a rate limit.
    pub(crate) limited: Gauge,
    /// Orders sent to instances.
    pub(crate) orders: Counter,
    /// Calls to the store by table and outcome.
    pub(crate) store_calls: Family<StoreLabels, Counter>,
    /// Requests to peers for rows while the store was unavailable.
    pub(crate) peer_fetches: Counter,
    /// Whether this node is the leader.
    pub(crate) is_leader: Gauge,
    /// The version of the active catalog.
    pub(crate) catalog: Gauge,
    /// The latest era of the store of which this node has rows.
    pub(crate) store_era: Gauge,
    /// Groups that are serving.
    pub(crate) groups: Gauge,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// The route; empty if none was found.
    pub(crate) route: String,
    /// The status code of the response, or the code of the refusal.
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
            retries: Counter::default(),
            retries_denied: Counter::default(),
            retry_budget: RetryBudgetMetrics::default(),
            admission: AdmissionMetrics::default(),
            stream_moves: Counter::default(),
            suspicions: Counter::default(),
            heads_reported_lost: Counter::default(),
            crashes: Counter::default(),
            quarantine_refusals: Counter::default(),
            quarantined_causes: Gauge::default(),
            connections: Counter::default(),
            connections_refused: Counter::default(),
            forwarder_connections: Counter::default(),
            forwarder_connections_refused: Counter::default(),
            forwarded: Counter::default(),
            forwarded_for_others: Counter::default(),
            heads_refused: Counter::default(),
            link_losses: Counter::default(),
            links_lost: Gauge::default(),
            unreached: Gauge::default(),
            limit_changes: Counter::default(),
            limited: Gauge::default(),
            orders: Counter::default(),
            store_calls: Family::default(),
            peer_fetches: Counter::default(),
            is_leader: Gauge::default(),
            catalog: Gauge::default(),
            store_era: Gauge::default(),
            groups: Gauge::default(),
        }
    }
}

impl GatewayMetrics {
    /// Returns a registry that encodes all metrics.
    pub(super) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("cuminlb");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register_with_unit(
            "first_byte",
            "Time to the first byte of a response",
            Unit::Seconds,
            self.first_byte_latency.clone(),
        );
        registry.register_with_unit(
            "longest_pause",
            "Longest pause between two events of a stream",
            Unit::Seconds,
            self.longest_pauses.clone(),
        );
        registry.register("repeats", "Retries of requests", self.retries.clone());
        let denied = "Retries denied because the budget was exhausted";
        registry.register("repeats_denied", denied, self.retries_denied.clone());
        self.retry_budget.register(&mut registry);
        self.admission.register(&mut registry);
        let stream_moves = "Streams that failed over to another group";
        registry.register("stream_moves", stream_moves, self.stream_moves.clone());
        registry.register(
            "suspicions",
            "Group heads that fell silent",
            self.suspicions.clone(),
        );
        let heads_reported_lost = "Group heads that other nodes reported lost";
        registry.register(
            "heads_reported_lost",
            heads_reported_lost,
            self.heads_reported_lost.clone(),
        );
        registry.register(
            "instance_crashes",
            "Instances found to have crashed after a connection broke",
            self.crashes.clone(),
        );
        registry.register(
            "quarantine_refusals",
            "Requests not sent because they contain what crashes instances",
            self.quarantine_refusals.clone(),
        );
        registry.register(
            "quarantined_causes",
            "What is quarantined because it crashes instances",
            self.quarantined_causes.clone(),
        );
        let connections = "Connections opened to instances";
        registry.register("connections", connections, self.connections.clone());
        registry.register(
            "connections_refused",
            "Connections to instances that could not be opened",
            self.connections_refused.clone(),
        );
        self.register_links(&mut registry);
        registry.register("orders", "Orders to instances", self.orders.clone());
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        let peer_fetches = "Requests to peers for rows while the store was unavailable";
        registry.register("peer_asks", peer_fetches, self.peer_fetches.clone());
        registry.register(
            "leads",
            "Whether this node is the leader",
            self.is_leader.clone(),
        );
        registry.register(
            "catalog_version",
            "Version of the active catalog",
            self.catalog.clone(),
        );
        registry.register(
            "store_era",
            "Latest era of the store of which the node has rows",
            self.store_era.clone(),
        );
        registry.register(
            "groups_serving",
            "Groups that are serving",
            self.groups.clone(),
        );
        registry
    }

    /// Registers what concerns the links of this node to instances.
    fn register_links(&self, registry: &mut Registry) {
        let counters = [
            (
                "forwarder_connections",
                "Connections opened to nodes that forward requests",
                &self.forwarder_connections,
            ),
            (
                "forwarder_connections_refused",
                "Connections to nodes that forward requests which could not be opened",
                &self.forwarder_connections_refused,
            ),
            (
                "forwarded",
                "Requests of this node that another node has forwarded",
                &self.forwarded,
            ),
            (
                "forwarded_for_others",
                "Requests of other nodes that this node has forwarded",
                &self.forwarded_for_others,
            ),
            (
                "heads_refused",
                "Connections closed for the head of a request that was too long or couldn't be held",
                &self.heads_refused,
            ),
            (
                "link_losses",
                "Losses of the links to all instances",
                &self.link_losses,
            ),
            (
                "limit_changes",
                "Changes of the rate limits that instances state",
                &self.limit_changes,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "links_lost",
            "Whether the links to all instances are lost",
            self.links_lost.clone(),
        );
        registry.register(
            "unreached_instances",
            "Instances that only other nodes reach",
            self.unreached.clone(),
        );
        registry.register(
            "limited_instances",
            "Instances that state a rate limit",
            self.limited.clone(),
        );
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

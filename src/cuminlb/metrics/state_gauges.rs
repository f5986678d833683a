//! Gauges of the state of a node and of the fleet, updated at each scrape.

use std::sync::atomic::{AtomicU64, Ordering};

use cuminlb_config::{FleetSpec, ServiceSpec};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

use super::request_metrics::{ServiceLabels, TeamLabels};
use crate::node::Node;

/// A gauge with a floating-point value.
type FloatGauge = Gauge<f64, AtomicU64>;

/// Gauges that are updated from the state of a node at each scrape. The two counters of peer
/// calls are copied from [`CallCounts`](cuminlb_peer::CallCounts).
#[derive(Clone, Debug, Default)]
pub(super) struct StateGauges {
    ready: Gauge,
    draining: Gauge,
    config_version: Gauge,
    table_age: FloatGauge,
    nodes_listed: Gauge,
    peers_linked: Gauge,
    peer_calls: Counter,
    peer_calls_failed: Counter,
    request_limit: Gauge,
    leases_held: Gauge,
    groups_wanted: Family<ServiceLabels, Gauge>,
    groups_formed: Family<ServiceLabels, Gauge>,
    groups_serving: Family<ServiceLabels, Gauge>,
    slots_taken: Family<ServiceLabels, Gauge>,
    slots_limit: Family<ServiceLabels, Gauge>,
    team_rate_limit: Family<TeamLabels, FloatGauge>,
    zone_in_service: Family<ZoneLabels, Gauge>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ZoneLabels {
    zone: String,
}

impl StateGauges {
    /// Adds the gauges to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        self.register_node(registry);
        self.register_fleet(registry);
    }

    fn register_node(&self, registry: &mut Registry) {
        registry.register(
            "node_ready",
            "1 while the load balancer should send requests to this node",
            self.ready.clone(),
        );
        registry.register(
            "node_draining",
            "1 while this node is draining for its shutdown",
            self.draining.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration that is active on this node",
            self.config_version.clone(),
        );
        registry.register_with_unit(
            "table_age",
            "Time since this node's last contact with the platform's table; -1 before the first",
            Unit::Seconds,
            self.table_age.clone(),
        );
        registry.register(
            "nodes_listed",
            "Live nodes in the platform's instance list",
            self.nodes_listed.clone(),
        );
        registry.register(
            "peers_linked",
            "Other nodes that this node can call",
            self.peers_linked.clone(),
        );
        registry.register("peer_calls", "Calls to peers", self.peer_calls.clone());
        registry.register(
            "peer_calls_failed",
            "Calls to peers that got no response",
            self.peer_calls_failed.clone(),
        );
        registry.register(
            "requests_limit",
            "Maximum number of requests that this node holds at once",
            self.request_limit.clone(),
        );
    }

    fn register_fleet(&self, registry: &mut Registry) {
        registry.register(
            "group_leases_held",
            "Groups that this node owns with a valid lease",
            self.leases_held.clone(),
        );
        registry.register(
            "groups_wanted",
            "Groups that the fleet file specifies, by service",
            self.groups_wanted.clone(),
        );
        registry.register(
            "groups_formed",
            "Groups that have been assigned members, as known to this node, by service",
            self.groups_formed.clone(),
        );
        registry.register(
            "groups_serving",
            "Groups that this node owns and that are serving, by service",
            self.groups_serving.clone(),
        );
        registry.register(
            "slots_taken",
            "Slots taken at the groups that this node owns, by service",
            self.slots_taken.clone(),
        );
        registry.register(
            "slots_limit",
            "Slots of the groups that this node owns, by service",
            self.slots_limit.clone(),
        );
        registry.register(
            "team_rate_limit_per_second",
            "Maximum requests per second of a team across all nodes",
            self.team_rate_limit.clone(),
        );
        registry.register(
            "zone_in",
            "1 while the availability zone is in service, 0 while operators have taken it out",
            self.zone_in_service.clone(),
        );
    }

    /// Updates the gauges from the state of a node.
    pub(super) fn update(&self, node: &Node) {
        let view = node.view();
        self.ready.set(i64::from(node.is_ready()));
        self.draining.set(i64::from(node.is_draining()));
        self.config_version
            .set(gauge_value(view.config_version().get()));
        let table_age_ms = node.freshness.age_ms();
        let table_age_s = table_age_ms.map(|age_ms| age_ms.duration().as_secs_f64());
        self.table_age.set(table_age_s.unwrap_or(-1.0));
        self.nodes_listed
            .set(gauge_value(view.nodes().iter().count()));
        self.peers_linked.set(gauge_value(node.peers.all().len()));
        let peer_calls = &node.metrics.peer_calls;
        let set_counter =
            |counter: &Counter, count| counter.inner().store(count, Ordering::Relaxed);
        set_counter(&self.peer_calls, peer_calls.sent());
        set_counter(&self.peer_calls_failed, peer_calls.failed());
        self.request_limit
            .set(i64::from(node.settings.limits.max_queued.get()));
        self.update_leases(node);
        if let Some(spec) = view.spec() {
            self.update_fleet(spec);
            for service in &spec.services {
                let formed = view.groups(&service.id).len();
                self.update_service(node, service, formed);
            }
        }
    }

    fn update_leases(&self, node: &Node) {
        let now = Instant::now();
        let owned = node.owned.all();
        let held = owned.iter().filter(|group| group.is_lease_valid(now));
        self.leases_held.set(gauge_value(held.count()));
    }

    fn update_fleet(&self, spec: &FleetSpec) {
        self.team_rate_limit.clear();
        for team in &spec.teams {
            let gauge = self
                .team_rate_limit
                .get_or_create_owned(&TeamLabels::new(&team.id));
            gauge.set(team.rate.get());
        }
        self.zone_in_service.clear();
        for zone in &spec.zones {
            let labels = ZoneLabels {
                zone: zone.id.to_string(),
            };
            let is_in = i64::from(spec.zone_is_in(&zone.id));
            self.zone_in_service.get_or_create(&labels).set(is_in);
        }
    }

    fn update_service(&self, node: &Node, service: &ServiceSpec, formed: usize) {
        node.events.metrics().init_series(&service.id);
        let labels = ServiceLabels::new(&service.id);
        let wanted = i64::from(service.replicas.get());
        self.groups_wanted.get_or_create(&labels).set(wanted);
        self.groups_formed
            .get_or_create(&labels)
            .set(gauge_value(formed));
        let (mut serving, mut taken, mut limit) = (0, 0, 0);
        for report in node.group_reports(service) {
            serving += i64::from(report.serving);
            taken += i64::from(report.taken.get());
            limit += i64::from(report.limit.get());
        }
        self.groups_serving.get_or_create(&labels).set(serving);
        self.slots_taken.get_or_create(&labels).set(taken);
        self.slots_limit.get_or_create(&labels).set(limit);
    }
}

/// Converts a count to a gauge value, saturating at [`i64::MAX`].
fn gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}

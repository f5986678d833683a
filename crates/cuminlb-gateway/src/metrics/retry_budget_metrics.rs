//! The gauges of the retry budgets.

use std::sync::atomic::AtomicU64;

use cuminlb_routing::BudgetUse;
use cuminlb_types::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// How much of the retry budgets is used.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudgetMetrics {
    /// The requests within the window that earn retries.
    requests: Family<ServiceLabels, Gauge>,
    /// The retries within the window.
    used: Family<ServiceLabels, Gauge>,
    /// The retries within the window that the node may make.
    allowed: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    /// The nodes that share the budgets, as far as this node knows.
    nodes: Gauge,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

impl RetryBudgetMetrics {
    /// Sets the gauges.
    pub(crate) fn update(&self, usage: &[(ServiceId, BudgetUse)], nodes: usize) {
        self.nodes.set(i64::try_from(nodes).unwrap_or(i64::MAX));
        for (service, usage) in usage {
            let labels = ServiceLabels {
                service: service.to_string(),
            };
            let requests = i64::from(usage.requests);
            self.requests.get_or_create(&labels).set(requests);
            let retries = i64::from(usage.retries);
            self.used.get_or_create(&labels).set(retries);
            self.allowed.get_or_create(&labels).set(usage.allowed);
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "retry_budget_requests",
            "Requests within the window that earn retries",
            self.requests.clone(),
        );
        registry.register(
            "retry_budget_used",
            "Retries of this node within the window",
            self.used.clone(),
        );
        registry.register(
            "retry_budget_allowed",
            "Retries that this node may make within the window",
            self.allowed.clone(),
        );
        registry.register(
            "retry_budget_nodes",
            "Nodes that share the retry budgets",
            self.nodes.clone(),
        );
    }
}

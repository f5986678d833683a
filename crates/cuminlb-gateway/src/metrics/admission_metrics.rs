//! The metrics of the admission of requests to the slots of groups.

use std::sync::atomic::AtomicU64;

use cuminlb_routing::SlotUsage;
use cuminlb_types::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The use of the slots of groups, and what became of requests for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionMetrics {
    /// Requests that were sent to yield to others.
    pub(crate) yielding: Counter,
    /// Requests that were refused because too many others wait.
    pub(crate) overloaded: Counter,
    /// The used fraction of the slots of each model.
    slots_used: Family<ModelLabels, Gauge<f64, AtomicU64>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ModelLabels {
    service: String,
    model: String,
}

impl AdmissionMetrics {
    /// Sets the use of the slots of a model.
    pub(crate) fn record_usage(&self, service: &ServiceId, model: &ModelId, usage: &SlotUsage) {
        let labels = ModelLabels {
            service: service.to_string(),
            model: model.to_string(),
        };
        let used = usage.used().get();
        self.slots_used.get_or_create(&labels).set(used);
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests_yielding",
            "Requests that were sent to yield to others",
            self.yielding.clone(),
        );
        registry.register(
            "requests_overloaded",
            "Requests that were refused because too many others wait for slots",
            self.overloaded.clone(),
        );
        registry.register(
            "slots_used_ratio",
            "Used fraction of the slots of a model's groups",
            self.slots_used.clone(),
        );
    }
}

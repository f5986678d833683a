//! Metrics of callers' requests, by service and by team.

use cuminlb_types::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Counts and times the requests that a node handles.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    pub(super) in_flight: Family<ServiceLabels, Gauge>,
    pub(super) waiting: Family<ServiceLabels, Gauge>,
    pub(super) team_in_flight: Family<TeamLabels, Gauge>,
    pub(super) queue_waits: DurationHistograms,
    pub(super) times_to_first_byte: DurationHistograms,
    pub(super) durations: DurationHistograms,
}

/// A histogram of durations in seconds for each service.
type DurationHistograms = Family<ServiceLabels, Histogram, fn() -> Histogram>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ServiceLabels {
    service: String,
}

impl ServiceLabels {
    pub(super) fn new(service: &ServiceId) -> Self {
        let service = service.to_string();
        Self { service }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct TeamLabels {
    team: String,
}

impl TeamLabels {
    pub(super) fn new(team: &TeamId) -> Self {
        let team = team.to_string();
        Self { team }
    }
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self {
            in_flight: Family::default(),
            waiting: Family::default(),
            team_in_flight: Family::default(),
            queue_waits: Family::new_with_constructor(latency_histogram),
            times_to_first_byte: Family::new_with_constructor(latency_histogram),
            durations: Family::new_with_constructor(duration_histogram),
        }
    }
}

/// Creates a histogram with 15 buckets from 1 ms to about 16 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

/// Creates a histogram with 17 buckets from 10 ms to about 10 min.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.01, 2.0, 17))
}

impl RequestMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests_in_flight",
            "Requests that have not ended, by service",
            self.in_flight.clone(),
        );
        registry.register(
            "requests_waiting",
            "Requests waiting in the queue for a slot, by service",
            self.waiting.clone(),
        );
        registry.register(
            "team_requests_in_flight",
            "Requests that have not ended, by team",
            self.team_in_flight.clone(),
        );
        registry.register_with_unit(
            "request_queue_wait",
            "Time from the start of a request until it is first sent to a group",
            Unit::Seconds,
            self.queue_waits.clone(),
        );
        registry.register_with_unit(
            "request_time_to_first_byte",
            "Time from the start of a request to the first byte of its response",
            Unit::Seconds,
            self.times_to_first_byte.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Time from the start of a request to its end",
            Unit::Seconds,
            self.durations.clone(),
        );
    }

    /// Returns the number of requests to a service that have not ended.
    pub fn in_flight(&self, service: &ServiceId) -> u64 {
        gauge_count(&self.in_flight.get_or_create(&ServiceLabels::new(service)))
    }

    /// Returns the number of requests to a service that have not been sent yet.
    pub fn waiting(&self, service: &ServiceId) -> u64 {
        gauge_count(&self.waiting.get_or_create(&ServiceLabels::new(service)))
    }

    /// Returns the number of requests of a team that have not ended.
    pub fn team_in_flight(&self, team: &TeamId) -> u64 {
        gauge_count(&self.team_in_flight.get_or_create(&TeamLabels::new(team)))
    }
}

fn gauge_count(gauge: &Gauge) -> u64 {
    u64::try_from(gauge.get()).unwrap_or_default()
}

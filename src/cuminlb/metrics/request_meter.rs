//! Measures a single request for the request metrics.

use cuminlb_types::prelude::*;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use tokio::time::Instant;

use super::RequestMetrics;
use super::request_metrics::{ServiceLabels, TeamLabels};

/// Measures one request from its creation until it is dropped, which counts as the request's end.
#[derive(Debug)]
pub struct RequestMeter {
    started_at: Instant,
    waiting: Option<Gauge>,
    in_flight: Gauge,
    team_in_flight: Gauge,
    queue_wait: Histogram,
    first_byte: Option<Histogram>,
    duration: Histogram,
}

impl RequestMetrics {
    /// Starts measuring a request.
    pub fn start(&self, team: &TeamId, service: &ServiceId) -> RequestMeter {
        let labels = ServiceLabels::new(service);
        let waiting = self.waiting.get_or_create_owned(&labels);
        let in_flight = self.in_flight.get_or_create_owned(&labels);
        let team_in_flight = self
            .team_in_flight
            .get_or_create_owned(&TeamLabels::new(team));
        waiting.inc();
        in_flight.inc();
        team_in_flight.inc();
        RequestMeter {
            started_at: Instant::now(),
            waiting: Some(waiting),
            in_flight,
            team_in_flight,
            queue_wait: self.queue_waits.get_or_create_owned(&labels),
            first_byte: Some(self.times_to_first_byte.get_or_create_owned(&labels)),
            duration: self.durations.get_or_create_owned(&labels),
        }
    }
}

impl RequestMeter {
    /// Records that the request was sent to a group, which ends its wait in the queue; later calls
    /// have no effect.
    pub fn record_sent(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            waiting.dec();
            self.queue_wait.observe(self.elapsed_s());
        }
    }

    /// Records the first byte of the response; later calls have no effect.
    pub fn record_first_byte(&mut self) {
        if let Some(first_byte) = self.first_byte.take() {
            first_byte.observe(self.elapsed_s());
        }
    }

    fn elapsed_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

impl Drop for RequestMeter {
    fn drop(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            waiting.dec();
        }
        self.in_flight.dec();
        self.team_in_flight.dec();
        self.duration.observe(self.elapsed_s());
    }
}

//! Metrics of the calls to the platform's services, by call and outcome.

use std::future::Future;

use cuminlb_platform::PlatformError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

/// A kind of call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlatformCall {
    /// Reads rows of the table.
    TableRead,
    /// Commits a transaction to the table.
    TableCommit,
    /// Reads an object.
    ObjectGet,
    /// Writes an object.
    ObjectPut,
    /// Reads the instance list.
    InstanceList,
}

impl PlatformCall {
    /// Returns the value of the `call` label.
    const fn call_label(self) -> &'static str {
        match self {
            Self::TableRead => "table_read",
            Self::TableCommit => "table_commit",
            Self::ObjectGet => "object_get",
            Self::ObjectPut => "object_put",
            Self::InstanceList => "instance_list",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OutcomeLabels {
    call: &'static str,
    outcome: &'static str,
}

/// Counts and times the calls to the platform.
#[derive(Clone, Debug)]
pub struct PlatformMetrics {
    calls: Family<OutcomeLabels, Counter>,
    durations: Family<CallLabels, Histogram, fn() -> Histogram>,
}

impl Default for PlatformMetrics {
    fn default() -> Self {
        Self {
            calls: Family::default(),
            durations: Family::new_with_constructor(duration_histogram),
        }
    }
}

/// Creates a histogram with 14 buckets from 1 ms to about 8 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

impl PlatformMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "platform_calls",
            "Calls to the platform's services, by call and outcome",
            self.calls.clone(),
        );
        registry.register_with_unit(
            "platform_call_duration",
            "Duration of calls to the platform's services",
            Unit::Seconds,
            self.durations.clone(),
        );
    }

    /// Runs a call, counts it and records its duration.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn measure<T>(
        &self,
        call: PlatformCall,
        future: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let started_at = Instant::now();
        let result = future.await;
        let (call, outcome) = (call.call_label(), outcome_label(&result));
        let elapsed = started_at.elapsed().as_secs_f64();
        self.calls
            .get_or_create(&OutcomeLabels { call, outcome })
            .inc();
        self.durations
            .get_or_create(&CallLabels { call })
            .observe(elapsed);
        result
    }
}

/// Returns the value of the `outcome` label.
const fn outcome_label<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(PlatformError::Unreachable { .. }) => "unreachable",
        Err(PlatformError::NoResponse { .. } | PlatformError::Overwritten) => "no_answer",
        Err(PlatformError::Refused { .. }) => "refused",
        Err(PlatformError::Malformed { .. }) => "malformed",
    }
}

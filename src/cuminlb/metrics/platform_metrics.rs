//! [`PlatformMetrics`] and [`PlatformCall`].

use std::future::Future;

use cuminlb_platform::PlatformError;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum PlatformCall {
    /// A read of table rows.
    TableRead,
    /// A transaction of the table.
    TableCommit,
    /// A read of an object.
    ObjectGet,
    /// A write of an object.
    ObjectPut,
    /// A read of the instance list.
    InstanceList,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum CallOutcome {
    Answered,
    Unreachable,
    NoAnswer,
    Refused,
    Malformed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CallLabels {
    call: PlatformCall,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OutcomeLabels {
    call: PlatformCall,
    outcome: CallOutcome,
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
            "Time that calls to the platform's services took",
            Unit::Seconds,
            self.durations.clone(),
        );
    }

    /// Runs a call, counts it and notes its duration.
    ///
    /// # Errors
    ///
    /// Passes on the error of the call.
    pub async fn measure<T>(
        &self,
        call: PlatformCall,
        run: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let started = Instant::now();
        let result = run.await;
        let outcome = call_outcome(&result);
        let elapsed = started.elapsed().as_secs_f64();
        self.calls
            .get_or_create(&OutcomeLabels { call, outcome })
            .inc();
        self.durations
            .get_or_create(&CallLabels { call })
            .observe(elapsed);
        result
    }
}

const fn call_outcome<T>(result: &Result<T, PlatformError>) -> CallOutcome {
    match result {
        Ok(_) => CallOutcome::Answered,
        Err(PlatformError::Unreachable { .. }) => CallOutcome::Unreachable,
        Err(PlatformError::NoAnswer { .. }) => CallOutcome::NoAnswer,
        Err(PlatformError::Refused { .. }) => CallOutcome::Refused,
        Err(PlatformError::Malformed { .. }) => CallOutcome::Malformed,
    }
}

//! [`PlatformMetrics`] and [`PlatformCall`].

use std::future::Future;

use cuminlb_platform::PlatformError;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::time::Instant;

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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

impl PlatformCall {
    /// Returns the word by which metrics name the call.
    const fn word(self) -> &'static str {
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
        let (call, outcome) = (call.word(), outcome_word(&result));
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

/// Returns the word by which metrics name the end of a call.
const fn outcome_word<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(PlatformError::Unreachable { .. }) => "unreachable",
        Err(PlatformError::NoResponse { .. } | PlatformError::Overwritten) => "no_answer",
        Err(PlatformError::Refused { .. }) => "refused",
        Err(PlatformError::Malformed { .. }) => "malformed",
    }
}

//! The metrics of a node, served as text on the metrics address.

mod admission_metrics;
mod gateway_metrics;
mod retry_budget_metrics;
mod serve_metrics;

pub(crate) use self::gateway_metrics::{GatewayMetrics, RequestLabels, RouteLabels, StoreLabels};
pub(crate) use self::serve_metrics::serve_metrics;

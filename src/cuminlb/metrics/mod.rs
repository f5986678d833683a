//! The Prometheus metrics of a node.
//!
//! Counters and histograms are updated as events occur; gauges are read from the state of the
//! node at each scrape. Label values are names from the fleet file or constants in the code, never
//! request ids, so that the number of series is bounded.

mod metered_instances;
mod metered_objects;
mod metered_table;
mod node_metrics;
mod peer_metrics;
mod platform_metrics;
mod request_meter;
mod request_metrics;
mod state_gauges;

pub use self::metered_instances::MeteredInstances;
pub use self::metered_objects::MeteredObjects;
pub use self::metered_table::MeteredTable;
pub use self::node_metrics::NodeMetrics;
pub use self::peer_metrics::PeerMetrics;
pub use self::platform_metrics::{PlatformCall, PlatformMetrics};
pub use self::request_meter::RequestMeter;
pub use self::request_metrics::RequestMetrics;

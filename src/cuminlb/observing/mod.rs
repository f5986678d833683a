//! Records changes of a node's state as events of the timeline, and builds the node's report.

mod denials;
mod freshness_events;
mod group_events;
mod node_report;
mod rejections;
mod zone_changes;

pub use self::freshness_events::FreshnessEvents;
pub use self::group_events::GroupEvents;
pub use self::zone_changes::record_zone_changes;

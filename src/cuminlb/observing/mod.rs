//! Records changes of a node's state as events of the timeline, and builds the node's report.

mod denials;
mod group_trail;
mod node_report;
mod rejections;
mod standing_trail;
mod zone_changes;

pub use self::group_trail::GroupTrail;
pub use self::standing_trail::StandingTrail;
pub use self::zone_changes::record_zone_changes;

//! Turns changes of a node's state into events of the time line.

mod denials;
mod group_trail;
mod node_report;
mod rejections;
mod standing_trail;
mod zone_changes;

pub use self::group_trail::GroupTrail;
pub use self::standing_trail::StandingTrail;
pub use self::zone_changes::record_zone_changes;

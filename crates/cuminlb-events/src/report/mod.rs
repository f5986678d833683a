//! The reports of a node to operators on its own state.

mod group_report;
mod node_report;
mod service_report;
mod team_report;

pub use self::group_report::GroupReport;
pub use self::node_report::NodeReport;
pub use self::service_report::ServiceReport;
pub use self::team_report::TeamReport;

//! The freshness of a node: whether it may act on what it last read from the table.
//!
//! A node is confirmed while its knowledge of the table is fresh, whether it read the table itself
//! or a peer whose configuration it has relayed the read. Once that knowledge is stale, in an
//! outage of the platform, an outage extension keeps the node confirmed while a majority of the
//! listed nodes, itself included, report that they have lost contact with the table and know of
//! no newer configuration. Before an expired lease is taken over, at least half of the listed nodes
//! must have been notified that the table is reachable again, which ends every extension that the
//! old holder could have.
//!
//! Times are measured on the clock of the node that decides. A time in a peer's report is an age,
//! and is counted back from before the request for the report was sent.

mod config_replacement;
mod freshness_bounds;
mod node_freshness;
mod outage_extension;
mod quorum;
mod table_contact;
mod table_report;
mod table_reports;
mod takeover_clearance;

pub use self::config_replacement::ConfigReplacement;
pub use self::freshness_bounds::FreshnessBounds;
pub use self::node_freshness::NodeFreshness;
pub use self::outage_extension::OutageExtension;
pub use self::quorum::Quorum;
pub use self::table_contact::TableContact;
pub use self::table_report::TableReport;
pub use self::table_reports::TableReports;
pub use self::takeover_clearance::TakeoverClearance;

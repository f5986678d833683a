//! The standing of a node: whether it may act on what it last read from the table.
//!
//! A node is confirmed while its knowledge of the table is fresh, read by itself or relayed by a
//! peer whose configuration it has. Past that, in an outage of the platform, it is covered while
//! a majority of the listed nodes, itself included, state that they hear the table no longer and
//! know no newer configuration. Before a lapsed lease is taken over, half of the listed nodes
//! must have heard that the table is back, which ends every cover that the old holder could have.
//!
//! Times are taken on the clock of the node that decides. A time that a peer states is an age,
//! and is counted from before the question was sent.

mod clearance;
mod node_standing;
mod outage_cover;
mod quorum;
mod replacement;
mod standing_bounds;
mod statement_book;
mod table_hearing;
mod table_statement;

pub use self::clearance::Clearance;
pub use self::node_standing::NodeStanding;
pub use self::outage_cover::OutageCover;
pub use self::quorum::Quorum;
pub use self::replacement::Replacement;
pub use self::standing_bounds::StandingBounds;
pub use self::statement_book::StatementBook;
pub use self::table_hearing::TableHearing;
pub use self::table_statement::TableStatement;

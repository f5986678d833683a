//! The kinds of traffic between two nodes.

/// The traffic that has a connection of its own between two nodes, so that large transfers do not
/// delay news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RelayLane {
    /// Changes of the tables, and notices to the leader.
    News,
    /// Chunks of large values.
    Bulk,
}

//! A change of what this node knows of its links to all instances.

use std::time::Duration;

/// A change of what this node knows of its links to all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// Nothing has changed for the links as a whole.
    None,
    /// The node has lost its links to all instances.
    Lost,
    /// The links are back.
    Regained {
        /// How long they were lost.
        outage: Duration,
    },
}

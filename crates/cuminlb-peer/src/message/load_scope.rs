//! Whose requests a load report counts.

use serde::{Deserialize, Serialize};

/// Whose requests a load report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LoadScope {
    /// Those of the reporting node, which follows the receiver.
    Node,
    /// Those of the reporting relay and its followers.
    Relay,
}

//! A team of callers.

use cuminlb_types::prelude::*;

/// A team whose callers authenticate with keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The team.
    pub id: TeamId,
    /// The priority of its requests; 0 is the highest. It overrides the route's priority.
    pub priority: Option<u8>,
}

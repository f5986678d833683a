//! The caller's data that decide the order of the requests in a queue.

use cuminlb_config::TeamSpec;
use cuminlb_routing::Priority;

/// The team that a request belongs to, and its priority among the waiting requests.
#[derive(Clone, Debug)]
pub(super) struct CallerContext {
    /// The team.
    pub(super) team: TeamSpec,
    /// The priority among the team's own requests.
    pub(super) priority: Priority,
}

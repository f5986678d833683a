//! [`CallerStanding`].

use cuminlb_config::TeamSpec;
use cuminlb_routing::Priority;

/// Whose request it is, and how it stands among the requests that wait.
#[derive(Clone, Debug)]
pub(super) struct CallerStanding {
    /// The team.
    pub(super) team: TeamSpec,
    /// The order among the team's own requests.
    pub(super) priority: Priority,
}

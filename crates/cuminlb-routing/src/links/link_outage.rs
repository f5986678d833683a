//! An instance that this node does not reach, but others do.

use tokio::time::Instant;

use super::LinkFailure;

/// An instance that this node does not reach, but others do.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkOutage {
    /// How the link failed last.
    pub(super) failure: LinkFailure,
    /// When the link was last found to be down.
    pub(super) checked_at: Instant,
}

//! An attempt that has not ended.

use cuminlb_types::prelude::*;

/// An attempt that has neither failed nor been cancelled.
#[derive(Clone, Debug)]
pub(super) struct OpenAttempt {
    pub(super) number: AttemptNumber,
    pub(super) instance: InstanceId,
    pub(super) is_silent: bool,
    /// Whether the link that it uses is lost, so that its instance may be reached by another way.
    pub(super) has_lost_link: bool,
}

//! What a response changes about the known rate limit of an instance.

use cuminlb_types::prelude::*;

/// What a response changes about the known rate limit of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The instance states a limit, or another one than before.
    Stated(RequestsPerSecond),
    /// The instance states no limit any more.
    Ended,
    /// The instance states a limit that is no rate, for the first time.
    Unreadable,
}

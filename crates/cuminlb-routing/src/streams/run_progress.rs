//! How far a run that produces a stream has come.

use cuminlb_types::prelude::*;

/// How far a run that produces a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunProgress {
    /// It has continued what the caller has, or the caller has nothing.
    Connected,
    /// It has produced nothing yet that the caller does not have; its latest event, if any.
    Behind(Option<EventId>),
}

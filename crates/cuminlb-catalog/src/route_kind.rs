//! Rules for retrying the requests of a route.

use cuminlb_types::prelude::*;

/// Whether and how the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another instance may resume the stream.
        is_resumable: bool,
        /// The target for the maximum time between two events.
        target_gap_ms: Option<Millis>,
    },
}

impl RouteKind {
    /// Returns whether a request that may already have run may be sent again.
    pub const fn may_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

//! [`RouteKind`].

use cuminlb_types::prelude::*;

/// What may be done more than once with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs once at most.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another instance may go on with the stream.
        is_resumable: bool,
        /// The longest pause between two events that is still on time.
        pause_aim_ms: Option<Millis>,
    },
}

impl RouteKind {
    /// Tells whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

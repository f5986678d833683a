//! Limits on requests and connections of callers.

use cuminlb_types::prelude::*;

/// Limits on the size of requests, and timeouts of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// The maximum size of a request's head.
    pub max_head_bytes: ByteCount,
    /// The maximum size of a request's body.
    pub max_body_bytes: ByteCount,
    /// The time within which a request's head must be received completely.
    pub head_timeout_ms: Millis,
    /// The time after which an idle connection is closed.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_head_bytes: ByteCount(16 << 10),
            max_body_bytes: ByteCount(4 << 20),
            head_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

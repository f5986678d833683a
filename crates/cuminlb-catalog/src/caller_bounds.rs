//! [`CallerBounds`].

use cuminlb_types::prelude::*;

/// What callers may send and how long they may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// The largest head of a request.
    pub max_head_bytes: ByteCount,
    /// The largest body of a request.
    pub max_body_bytes: ByteCount,
    /// The time in which a head must be whole.
    pub head_timeout_ms: Millis,
    /// The time after which an unused connection is closed.
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

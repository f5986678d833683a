//! Whether the rate limit of an instance leaves a place for a request of this node.

use tokio::time::Instant;

/// Whether the rate limit of an instance leaves a place for a request of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPlace {
    /// A request may be sent now.
    Free,
    /// The next request may be sent at this time.
    FreeAt(Instant),
    /// The share of this node holds no request. Another node may have a place at this time.
    None(Instant),
}

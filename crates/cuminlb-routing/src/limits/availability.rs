//! Whether an instance may get a request now.

use tokio::time::Instant;

/// Whether an instance may get a request of this node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may get one now.
    Now,
    /// It may get one from this time on.
    At(Instant),
    /// This node may send it nothing soon. Another node may at this time.
    Elsewhere(Instant),
    /// It has no capacity, but may have soon.
    Limited,
    /// It gets no requests.
    Never,
}

//! Whether a request waits that no instance can take at present.

use tokio::time::Instant;

/// Whether a request waits that no instance can take at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// An instance accepts requests from this time on, early enough for the request.
    WaitUntil(Instant),
    /// Nothing is known about when an instance can take the request.
    WaitForChange,
    /// All instances that could serve the request want none for too long.
    Refuse,
}

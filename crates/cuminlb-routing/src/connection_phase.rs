//! What a caller's connection waits for.

use tokio::time::Instant;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// The next request.
    Idle { since: Instant },
    /// The rest of the head of a request.
    Head { since: Instant },
    /// The response to a request.
    Request,
}

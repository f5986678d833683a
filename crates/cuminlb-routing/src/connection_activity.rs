//! What happens on a caller's connection, and until when it stays open.

use std::time::Duration;

use tokio::time::Instant;

/// How long a caller's connection may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// The time within which the head of a request must be received completely.
    pub head_timeout: Duration,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The next request.
    Idle { since: Instant },
    /// The rest of the head of a request.
    Head { since: Instant },
    /// The response to a request.
    Request,
}

/// What happens on a caller's connection.
///
/// The limits are arguments, since a connection follows those of the newest catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    phase: Phase,
    /// Whether a part of a response has not been sent yet.
    has_unsent_bytes: bool,
}

impl ConnectionActivity {
    /// Returns the activity of a connection that was just accepted.
    pub const fn new(now: Instant) -> Self {
        Self {
            phase: Phase::Idle { since: now },
            has_unsent_bytes: false,
        }
    }

    /// Records that bytes of the caller were received.
    pub const fn record_received(&mut self, now: Instant) {
        if let Phase::Idle { .. } = self.phase {
            self.phase = Phase::Head { since: now };
        }
    }

    /// Records that the head of a request is complete.
    pub const fn start_request(&mut self) {
        self.phase = Phase::Request;
    }

    /// Records that the response to the request is complete, or that the request has ended without.
    pub const fn end_request(&mut self, now: Instant) {
        self.phase = Phase::Idle { since: now };
    }

    /// Records that bytes of a response are to be sent.
    pub const fn record_sending(&mut self) {
        self.has_unsent_bytes = true;
    }

    /// Records that all bytes of responses have been sent.
    pub const fn record_sent(&mut self, now: Instant) {
        if !self.has_unsent_bytes {
            return;
        }
        self.has_unsent_bytes = false;
        if let Phase::Idle { since } = &mut self.phase {
            *since = now;
        }
    }

    /// Returns when the connection is closed unless something happens before; `None` while a request
    /// is in progress or a response is being sent.
    pub fn expires_at(&self, limits: ConnectionLimits) -> Option<Instant> {
        if self.has_unsent_bytes {
            return None;
        }
        match self.phase {
            Phase::Idle { since } => Some(since + limits.idle_timeout),
            Phase::Head { since } => Some(since + limits.head_timeout),
            Phase::Request => None,
        }
    }
}

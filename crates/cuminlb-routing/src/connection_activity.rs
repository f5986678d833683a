//! What happens on a caller's connection, and until when it stays open.

use tokio::time::Instant;

use crate::connection_limits::ConnectionLimits;
use crate::connection_phase::ConnectionPhase;

/// What happens on a caller's connection.
///
/// The limits are arguments, since a connection follows those of the newest catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    phase: ConnectionPhase,
    /// The deadline of the last request, once it is known.
    deadline: Option<Instant>,
    /// When a response of which a part is still unsent last made progress.
    sending_since: Option<Instant>,
}

impl ConnectionActivity {
    /// Returns the activity of a connection that was just accepted.
    pub const fn new(now: Instant) -> Self {
        Self {
            phase: ConnectionPhase::Idle { since: now },
            deadline: None,
            sending_since: None,
        }
    }

    /// Records that bytes of the caller were received.
    pub const fn record_received(&mut self, now: Instant) {
        if let ConnectionPhase::Idle { .. } = self.phase {
            self.phase = ConnectionPhase::Head { since: now };
        }
    }

    /// Records that the head of a request is complete.
    pub const fn start_request(&mut self) {
        self.phase = ConnectionPhase::Request;
        self.deadline = None;
    }

    /// Records the deadline of the request.
    pub const fn record_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Records that the response to the request is complete, or that the request has ended without.
    pub const fn end_request(&mut self, now: Instant) {
        self.phase = ConnectionPhase::Idle { since: now };
    }

    /// Records that bytes of a response are to be sent.
    pub const fn record_sending(&mut self, now: Instant) {
        if self.sending_since.is_none() {
            self.sending_since = Some(now);
        }
    }

    /// Records that a part of a response has been sent.
    pub const fn record_progress(&mut self, now: Instant) {
        self.sending_since = Some(now);
    }

    /// Records that all bytes of responses have been sent.
    pub const fn record_sent(&mut self, now: Instant) {
        if self.sending_since.take().is_none() {
            return;
        }
        if let ConnectionPhase::Idle { since } = &mut self.phase {
            *since = now;
        }
    }

    /// Returns whether no request has begun to arrive, and all responses have been sent.
    pub const fn is_idle(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Idle { .. }) && self.sending_since.is_none()
    }

    /// Returns whether a request is in progress.
    pub const fn has_request(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Request)
    }

    /// Returns whether a response could be sent that belongs to no request: none is in progress, and
    /// all responses have been sent.
    pub const fn can_send_refusal(&self) -> bool {
        !self.has_request() && self.sending_since.is_none()
    }

    /// Returns when the connection is closed unless something happens before; `None` while a request
    /// is in progress of whose response everything so far has been sent.
    pub fn expires_at(&self, limits: ConnectionLimits) -> Option<Instant> {
        if let Some(since) = self.sending_since {
            let since = self.deadline.map_or(since, |deadline| deadline.max(since));
            return Some(since + limits.send_timeout);
        }
        match self.phase {
            ConnectionPhase::Idle { since } => Some(since + limits.idle_timeout),
            ConnectionPhase::Head { since } => Some(since + limits.head_timeout),
            ConnectionPhase::Request => None,
        }
    }
}

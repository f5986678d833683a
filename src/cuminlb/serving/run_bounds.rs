//! [`RunBounds`].

use std::future::Future;

use cuminlb_types::prelude::*;
use cuminlb_upstream::UpstreamError;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The time that one request may take, and the end of this node's own time.
#[derive(Clone, Debug)]
pub(super) struct RunBounds {
    deadline: Instant,
    timeout_ms: Millis,
    cutoff: CancellationToken,
}

impl RunBounds {
    /// Bounds a request that starts now.
    pub(super) fn new(timeout_ms: Millis, cutoff: CancellationToken) -> Self {
        Self {
            deadline: Instant::now() + timeout_ms.duration(),
            timeout_ms,
            cutoff,
        }
    }

    /// Returns the time by which the request ends.
    pub(super) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the time that is left.
    pub(super) fn left_ms(&self) -> Millis {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.into()
    }

    /// Waits for a step of the request no longer than the request may take.
    pub(super) async fn within<T>(
        &self,
        step: impl Future<Output = T>,
    ) -> Result<T, UpstreamError> {
        tokio::select! {
            biased;
            done = step => Ok(done),
            () = self.cutoff.cancelled() => Err(UpstreamError::ShutDown),
            () = tokio::time::sleep_until(self.deadline) => Err(self.exceeded()),
        }
    }

    fn exceeded(&self) -> UpstreamError {
        UpstreamError::DeadlineExceeded {
            timeout_ms: self.timeout_ms,
        }
    }
}

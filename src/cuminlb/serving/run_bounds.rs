//! The bounds on the running time of one request: its deadline and the shutdown of the node.

use std::future::Future;

use cuminlb_types::prelude::*;
use cuminlb_upstream::UpstreamError;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The deadline of one request, and the signal that aborts it when this node shuts down.
#[derive(Clone, Debug)]
pub(super) struct RunBounds {
    deadline: Instant,
    timeout_ms: Millis,
    abort: CancellationToken,
}

impl RunBounds {
    /// Creates the bounds of a request that starts now.
    pub(super) fn new(timeout_ms: Millis, abort: CancellationToken) -> Self {
        Self {
            deadline: Instant::now() + timeout_ms.duration(),
            timeout_ms,
            abort,
        }
    }

    /// Returns the time by which the request has to end.
    pub(super) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining_ms(&self) -> Millis {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.into()
    }

    /// Waits for a step of the request until the deadline or the abort.
    pub(super) async fn within<T>(
        &self,
        step: impl Future<Output = T>,
    ) -> Result<T, UpstreamError> {
        tokio::select! {
            biased;
            output = step => Ok(output),
            () = self.abort.cancelled() => Err(UpstreamError::ShutDown),
            () = tokio::time::sleep_until(self.deadline) => Err(self.deadline_exceeded()),
        }
    }

    fn deadline_exceeded(&self) -> UpstreamError {
        UpstreamError::DeadlineExceeded {
            timeout_ms: self.timeout_ms,
        }
    }
}

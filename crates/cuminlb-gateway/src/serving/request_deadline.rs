//! The time by which a caller must have its response.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::Route;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until};

use crate::knowledge::Knowledge;

/// The time by which a caller must have its response: that of its admission, or a later one if the
/// newest catalog gives its route a longer timeout.
#[derive(Clone, Debug)]
pub(super) struct RequestDeadline {
    knowledge: Arc<Knowledge>,
    host: SmolStr,
    path: SmolStr,
    received_at: Instant,
    /// How long the caller waits.
    caller_timeout: Duration,
    at_admission: Instant,
}

impl RequestDeadline {
    /// Returns the deadline of a request that is admitted to a route, which `host` and `path` lead to.
    pub(super) fn new(
        knowledge: Arc<Knowledge>,
        (host, path): (SmolStr, SmolStr),
        received_at: Instant,
        caller_timeout: Duration,
        route: &Route,
    ) -> Self {
        let timeout = caller_timeout.min(route.timeout_ms.duration());
        Self {
            knowledge,
            host,
            path,
            received_at,
            caller_timeout,
            at_admission: received_at + timeout,
        }
    }

    /// Returns the deadline by the newest catalog; never earlier than that of the admission.
    pub(super) fn latest(&self) -> Instant {
        let catalog = self.knowledge.catalog();
        let route = catalog
            .as_ref()
            .and_then(|catalog| catalog.route(&self.host, &self.path));
        route.map_or(self.at_admission, |route| {
            let timeout = self.caller_timeout.min(route.timeout_ms.duration());
            self.at_admission.max(self.received_at + timeout)
        })
    }

    /// Returns whether the deadline has passed.
    pub(super) fn has_passed(&self) -> bool {
        let now = Instant::now();
        now >= self.at_admission && now >= self.latest()
    }

    /// Waits until the deadline has passed.
    pub(super) async fn passed(&self) {
        self.passed_but_for(Duration::ZERO).await;
    }

    /// Waits until no more than `margin` remains until the deadline.
    pub(super) async fn passed_but_for(&self, margin: Duration) {
        let mut deadline = self.at_admission;
        loop {
            sleep_until(deadline - margin).await;
            let latest = self.latest();
            if latest <= deadline {
                return;
            }
            deadline = latest;
        }
    }
}

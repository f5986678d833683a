//! The time by which a caller must have its response.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::{Route, RouteKind};
use cuminlb_routing::DrainSchedule;
use tokio::time::{Instant, sleep_until};

use crate::drain::Drain;
use crate::knowledge::Knowledge;

/// The time by which a caller must have its response: that of its admission, or a later one if the
/// newest catalog gives the same route a longer timeout.
#[derive(Clone, Debug)]
pub(super) struct RequestDeadline {
    knowledge: Arc<Knowledge>,
    drain: Drain,
    /// The route as of the admission.
    route: Arc<Route>,
    received_at: Instant,
    /// How long the caller waits.
    caller_timeout: Duration,
    at_admission: Instant,
}

impl RequestDeadline {
    /// Returns the deadline of a request that is admitted to a route.
    pub(super) fn new(
        knowledge: Arc<Knowledge>,
        drain: Drain,
        route: Arc<Route>,
        received_at: Instant,
        caller_timeout: Duration,
    ) -> Self {
        let timeout = caller_timeout.min(route.timeout_ms.duration());
        Self {
            knowledge,
            drain,
            route,
            received_at,
            caller_timeout,
            at_admission: received_at + timeout,
        }
    }

    /// Returns the deadline by the newest catalog; never earlier than that of the admission. A
    /// route that the newest catalog does not contain keeps the timeout of the admission.
    pub(super) fn latest(&self) -> Instant {
        let catalog = self.knowledge.catalog();
        let route = catalog
            .as_ref()
            .and_then(|catalog| catalog.route(&self.route.host, &self.route.prefix))
            .filter(|route| self.is_same_route(route));
        route.map_or(self.at_admission, |route| {
            let timeout = self.caller_timeout.min(route.timeout_ms.duration());
            self.at_admission.max(self.received_at + timeout)
        })
    }

    fn is_same_route(&self, route: &Route) -> bool {
        route.host == self.route.host
            && route.prefix == self.route.prefix
            && route.name == self.route.name
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

    /// Waits until no more than `margin` remains until the deadline by the newest catalog.
    pub(super) async fn passed_but_for(&self, margin: Duration) {
        sleep_until(self.at_admission - margin).await;
        if self.latest() <= self.at_admission {
            return;
        }
        let mut changes = self.knowledge.catalog_changes();
        loop {
            tokio::select! {
                () = sleep_until(self.latest() - margin) => return,
                Ok(()) = changes.changed() => {}
            }
        }
    }

    /// Returns when a request whose response has not begun is answered at the latest: `margin` before
    /// the deadline, or earlier if the node stops before.
    pub(super) fn latest_answer(&self, margin: Duration) -> Instant {
        let latest = self.latest() - margin;
        let schedule = self.drain.schedule();
        schedule.map_or(latest, |schedule| latest.min(schedule.answers_by()))
    }

    /// Waits until a request whose response has not begun must be answered.
    pub(super) async fn answer_due(&self, margin: Duration) {
        tokio::select! {
            () = self.passed_but_for(margin) => {}
            () = self.drain.answers_due() => {}
        }
    }

    /// Returns whether the node stops so soon that the request must be answered.
    pub(super) fn is_cut_short(&self) -> bool {
        self.drain.has_passed(DrainSchedule::answers_by)
    }

    /// Returns whether the request may be passed on, or came too late for a node that stops.
    pub(super) fn may_start(&self) -> bool {
        !self.drain.has_passed(|schedule| self.starts_by(schedule))
    }

    /// Returns until when the request may wait before it is passed on.
    pub(super) fn latest_start(&self) -> Instant {
        let latest = self.latest();
        let schedule = self.drain.schedule();
        schedule.map_or(latest, |schedule| latest.min(self.starts_by(&schedule)))
    }

    /// Waits until a time, or only until it is known that the node stops too soon for a request that is
    /// passed on at that time.
    pub(super) async fn wait_to_start(&self, until: Instant) {
        let known_at = |schedule: &DrainSchedule| {
            if self.starts_by(schedule) < until {
                self.received_at
            } else {
                until
            }
        };
        tokio::select! {
            () = sleep_until(until) => {}
            () = self.drain.passed(known_at) => {}
        }
    }

    /// Waits until the request must not be passed on any more, because the node stops.
    pub(super) async fn start_expired(&self) {
        self.drain.passed(|schedule| self.starts_by(schedule)).await;
    }

    /// Returns until when the request may be passed on by a node that stops.
    fn starts_by(&self, schedule: &DrainSchedule) -> Instant {
        match self.route.kind {
            RouteKind::Stream { .. } => schedule.stream_starts_by(),
            RouteKind::Idempotent | RouteKind::AtMostOnce => {
                schedule.plain_starts_by(self.route.target_latency_ms.duration())
            }
        }
    }
}

//! How long an instance may send nothing for a request before it is suspected.

use std::time::Duration;

use cuminlb_catalog::RouteKind;
use cuminlb_types::prelude::*;

use super::admitted_request::AdmittedRequest;

/// Fraction of the acceptable pause after which an instance is suspected.
const PAUSE_SUSPICION_FRACTION: f64 = 0.75;

/// Fraction of the target latency of the first event after which an instance is suspected.
const FIRST_EVENT_SUSPICION_FRACTION: f64 = 0.9;

/// Acceptable pause between two events if the route states none.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(500);

/// Returns how long an instance may be silent for a request, before or after its first event.
pub(super) fn silence_limit(request: &AdmittedRequest, has_started: bool) -> Duration {
    if !has_started {
        return request
            .route
            .target_latency_ms
            .duration()
            .mul_f64(FIRST_EVENT_SUSPICION_FRACTION);
    }
    target_gap(request).mul_f64(PAUSE_SUSPICION_FRACTION)
}

/// Returns the acceptable pause between two events of a stream.
pub(super) fn target_gap(request: &AdmittedRequest) -> Duration {
    let gap = match request.route.kind {
        RouteKind::Stream { target_gap_ms, .. } => target_gap_ms.map(Millis::duration),
        RouteKind::Idempotent | RouteKind::AtMostOnce => None,
    };
    gap.unwrap_or(DEFAULT_MAX_PAUSE)
}

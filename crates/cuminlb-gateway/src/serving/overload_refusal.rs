//! The refusal of a request because more are in flight than can begin in time.

use std::ops::Range;

use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;

/// Range of the `Retry-After`. Requests hold their slots for about a second, so callers that return
/// earlier would meet the same requests.
const RETRY_AFTER_MS: Range<u64> = 1_000..1_600;

/// The fraction of its remaining time that a caller waits for at most before it sends a request again.
const MAX_WAIT_DIVISOR: u64 = 3;

/// Returns the refusal of a request because too many others wait for the same slots.
pub(super) fn overload_refusal(request: &AdmittedRequest) -> Refusal {
    let service = request.service.clone();
    let remaining_ms = request.remaining_ms(Instant::now());
    let longest_ms = remaining_ms.get() / MAX_WAIT_DIVISOR;
    let retry_after_ms = rand::random_range(RETRY_AFTER_MS).min(longest_ms);
    let refusal = Refusal::not_run(RefusalKind::Overloaded { service });
    refusal.with_retry_after(Millis(retry_after_ms))
}

//! The refusal of a request that comes too late for a node that stops.

use std::ops::Range;

use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;

/// Range of the `Retry-After`: other nodes can serve the request at once, but callers of one node
/// should not all return together.
const RETRY_AFTER_MS: Range<u64> = 50..250;

/// Returns the refusal of a request that was not passed on because this node stops.
pub(super) fn draining_refusal() -> Refusal {
    let retry_after_ms = Millis(rand::random_range(RETRY_AFTER_MS));
    Refusal::not_run(RefusalKind::Draining).with_retry_after(retry_after_ms)
}

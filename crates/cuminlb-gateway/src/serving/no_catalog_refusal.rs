//! The refusal of a request that arrives before this node has read a catalog.

use std::ops::Range;
use std::time::Duration;

use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;

/// The time after its start in which a node usually reads the catalog. Other nodes may have started at the same
/// time and have none either.
const USUAL_READ_TIME: Duration = Duration::from_millis(1_000);

/// Range of the `Retry-After` in that time. Callers retry only once or twice, so they return after it.
const STARTING_RETRY_AFTER_MS: Range<u64> = 400..900;

/// Range of the `Retry-After` after that time, when the node is probably cut off from the store. Callers that
/// return at once may reach other nodes that have a catalog.
const CUT_OFF_RETRY_AFTER_MS: Range<u64> = 10..50;

/// Returns the refusal of a request at a node that has run for `uptime` and has no catalog.
pub(super) fn no_catalog_refusal(uptime: Duration) -> Refusal {
    let retry_after_ms = if uptime < USUAL_READ_TIME {
        STARTING_RETRY_AFTER_MS
    } else {
        CUT_OFF_RETRY_AFTER_MS
    };
    let retry_after_ms = Millis(rand::random_range(retry_after_ms));
    Refusal::not_run(RefusalKind::ConfigUnconfirmed).with_retry_after(retry_after_ms)
}

//! The refusal of a request whose body this node can't hold.

use std::ops::Range;

use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;

/// Range of the `Retry-After`: long bodies need some tenths of a second to be sent and answered, and
/// their callers should not all return together.
const RETRY_AFTER_MS: Range<u64> = 200..800;

/// Returns the refusal of a request that was not passed on because too many long bodies are held.
pub(super) fn bodies_held_refusal() -> Refusal {
    let retry_after_ms = Millis(rand::random_range(RETRY_AFTER_MS));
    Refusal::not_run(RefusalKind::BodiesHeld).with_retry_after(retry_after_ms)
}

//! How urgent a request is at an instance where others wait.

use cuminlb_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// The least urgency that instances know.
const LEAST_URGENT: Urgency = Urgency(9);

/// How many urgencies the requests of one priority are spread over.
const LEVELS: u8 = 4;

/// Returns how urgent a request is, whose route or team has a `priority` of which 0 is the highest.
///
/// Requests of one priority are spread by their ids: when more come than an instance can begin in
/// time, most are still early and the others wait, where a queue in order of arrival would make all
/// of them late. A stream that goes on behind an event comes before all others of its priority.
pub fn spread_urgency(priority: u8, request: &RequestId, resume_after: Option<EventId>) -> Urgency {
    let level = match resume_after {
        Some(_) => 0,
        None => (xxh3_64(request.as_str().as_bytes()) % u64::from(LEVELS)) as u8,
    };
    let urgency = priority.saturating_mul(LEVELS).saturating_add(level);
    Urgency(urgency).min(LEAST_URGENT)
}

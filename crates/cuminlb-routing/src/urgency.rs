//! The urgency with which an instance schedules a request among those that wait there.

use cuminlb_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestClass;

/// The lowest urgency that instances support; lower numbers are more urgent.
const LEAST_URGENT: Urgency = Urgency(9);

/// The number of urgency levels over which the requests of one priority are spread.
const LEVELS_PER_PRIORITY: u8 = 4;

/// Returns the urgency of a request from the `priority` of its route or team, of which 0 is the
/// highest.
///
/// Requests of one priority are spread over several levels by a hash of their ids. When more
/// requests arrive than an instance can start in time, most of them still start early and only the
/// others wait; a queue in order of arrival would delay all of them. A stream that resumes after an
/// event precedes all other requests of its priority, and those that yield follow them.
pub fn request_urgency(
    priority: u8,
    request: &RequestId,
    resume_after: Option<EventId>,
    class: RequestClass,
) -> Urgency {
    let last_level = LEVELS_PER_PRIORITY - 1;
    let spread = |levels: u8| (xxh3_64(request.as_str().as_bytes()) % u64::from(levels)) as u8;
    let level = match (resume_after, class) {
        (Some(_), _) => 0,
        (None, RequestClass::Unclassified) => spread(LEVELS_PER_PRIORITY),
        (None, RequestClass::InTime) => spread(last_level),
        (None, RequestClass::Yielding) => last_level,
    };
    let urgency = priority
        .saturating_mul(LEVELS_PER_PRIORITY)
        .saturating_add(level);
    Urgency(urgency).min(LEAST_URGENT)
}

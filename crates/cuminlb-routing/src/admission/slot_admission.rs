//! Whether a request may compete for the slots of a model's groups.

use cuminlb_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{RequestClass, SlotUsage, TeamStanding};

/// The used fraction of the slots from which on some requests yield. Groups are used unevenly, so that
/// some are full long before all are.
const YIELD_FROM: f64 = 0.8;

/// The further fraction over which the part of the requests that yield grows from none to all. With
/// reports that are some tenths of a second old, a steeper rule lets the use swing.
const YIELD_RANGE: f64 = 0.25;

/// How much fuller the slots count for each level of priority below the highest.
const PRIORITY_STEP: f64 = 0.05;

/// The lowest priority that makes a difference.
const LOWEST_PRIORITY: u8 = 3;

/// The requests that yield and have not begun, per slot, from which on others are refused. They begin
/// while the number of competing requests varies; more of them would only wait until their callers leave.
const MAX_BACKLOG: f64 = 0.02;

/// Seed of the hash of a request's id, which must differ from that of its urgency.
const DRAW_SEED: u64 = 1;

/// What becomes of a request when it is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotVerdict {
    /// It is sent as a request of a class.
    Send(RequestClass),
    /// It is refused.
    Refuse,
}

/// Decides whether a request may compete for the slots of a model's groups.
///
/// This answers the load of more requests than the groups can begin in time, for as long as that lasts.
/// All nodes see about the same use of the slots and let the same part of their requests compete, so that
/// the competing ones fill the slots and hardly wait. The others yield: the engines admit them when no
/// other waits. When too many of them wait already, a request is refused at once, since its caller can
/// do something better than wait.
///
/// `priority` is that of the request, 0 the highest. Which requests yield depends on their ids, so that a
/// request which its caller repeats with the same id, also to another node, is no more likely to compete.
pub fn decide_admission(
    usage: &SlotUsage,
    standing: TeamStanding,
    priority: u8,
    request: &RequestId,
) -> SlotVerdict {
    let below_highest = f64::from(priority.min(LOWEST_PRIORITY));
    let used = usage.used().get() + Ratio::from(standing).get() + PRIORITY_STEP * below_highest;
    let yielding_part = (used - YIELD_FROM) / YIELD_RANGE;
    if draw(request) >= yielding_part {
        SlotVerdict::Send(RequestClass::InTime)
    } else if usage.backlog().get() < MAX_BACKLOG {
        SlotVerdict::Send(RequestClass::Yielding)
    } else {
        SlotVerdict::Refuse
    }
}

/// Returns a number from 0 to 1 that is evenly distributed over the requests.
fn draw(request: &RequestId) -> f64 {
    let hash = xxh3_64_with_seed(request.as_str().as_bytes(), DRAW_SEED);
    hash as f64 / u64::MAX as f64
}

//! [`RepeatVerdict`] and [`judge_repeat`].

use cuminlb_fleet::rows::{ClaimRow, ClaimState, RecordedResponse};
use cuminlb_types::prelude::*;

/// How long the outcome of a claimed request is kept for repeats.
pub const CLAIM_RETENTION_MS: Millis = Millis(24 * 3_600_000);

/// What a request does that finds the claim of an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepeatVerdict {
    /// The earlier request has not run and will not, or its retention is over: the claim may be
    /// taken over.
    TakeOver,
    /// The earlier request may still be running.
    Running,
    /// The earlier request may have run; it will not be sent again.
    Unknown,
    /// The earlier request was answered.
    Answered(RecordedResponse),
    /// The earlier request asked for something else.
    OtherContent,
}

/// Judges a request by the claim that an earlier one has left under the same name.
pub fn judge_repeat(
    found: &ClaimRow,
    content: &ContentDigest,
    now_ms: UnixMillis,
) -> RepeatVerdict {
    let retained_until_ms = found.claimed_at_ms.get() + CLAIM_RETENTION_MS.get();
    if now_ms.get() > retained_until_ms {
        return RepeatVerdict::TakeOver;
    }
    if found.state == ClaimState::NotRun {
        return RepeatVerdict::TakeOver;
    }
    if found.content != *content {
        return RepeatVerdict::OtherContent;
    }
    match &found.state {
        ClaimState::NotRun => RepeatVerdict::TakeOver,
        ClaimState::Running if now_ms <= found.running_until_ms => RepeatVerdict::Running,
        ClaimState::Running | ClaimState::Unknown => RepeatVerdict::Unknown,
        ClaimState::Answered(outcome) => RepeatVerdict::Answered(outcome.clone()),
    }
}

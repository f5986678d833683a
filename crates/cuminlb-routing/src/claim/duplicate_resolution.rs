//! How a request is handled whose idempotency key has been claimed by an earlier request.

use cuminlb_fleet::rows::{ClaimRow, ClaimState, RecordedResponse};
use cuminlb_types::prelude::*;

/// How long a claim is retained for duplicates of its request, in milliseconds (24 hours).
pub const CLAIM_RETENTION_MS: Millis = Millis(24 * 3_600_000);

/// How to handle a request that finds the claim of an earlier request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateResolution {
    /// The earlier request has not run and will not run, or its retention has expired: the claim
    /// may be taken over.
    TakeOver,
    /// The earlier request may still be running.
    Running,
    /// The earlier request may have run, so the duplicate is not sent.
    Unknown,
    /// The earlier request got this response.
    Answered(RecordedResponse),
    /// The earlier request had another method, path or body.
    ContentMismatch,
}

/// Decides how to handle a duplicate request from the claim found under its idempotency key.
pub fn resolve_duplicate(
    found: &ClaimRow,
    content: &ContentDigest,
    now_ms: UnixMillis,
) -> DuplicateResolution {
    let retained_until_ms = found.claimed_at_ms.get() + CLAIM_RETENTION_MS.get();
    if now_ms.get() > retained_until_ms {
        return DuplicateResolution::TakeOver;
    }
    if found.state == ClaimState::NotRun {
        return DuplicateResolution::TakeOver;
    }
    if found.content != *content {
        return DuplicateResolution::ContentMismatch;
    }
    match &found.state {
        ClaimState::NotRun => DuplicateResolution::TakeOver,
        ClaimState::Running if now_ms <= found.running_until_ms => DuplicateResolution::Running,
        ClaimState::Running | ClaimState::Unknown => DuplicateResolution::Unknown,
        ClaimState::Answered(outcome) => DuplicateResolution::Answered(outcome.clone()),
    }
}

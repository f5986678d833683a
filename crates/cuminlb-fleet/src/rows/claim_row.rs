//! The row `claim/DIGEST`.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::ClaimState;

/// The claim of one non-idempotent request, which keeps it from running twice.
///
/// Only the request that wrote the row may be sent, and only the process that received it may
/// settle the row. After that, the row changes only if another request takes it over, which is
/// allowed when its state is [`ClaimState::NotRun`] or its retention has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// The team that may receive the outcome.
    pub team: TeamId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The node that sends the request.
    pub sender: NodeId,
    /// The incarnation of the sender; later incarnations know nothing of the request.
    pub incarnation: Incarnation,
    /// The request that may be sent.
    pub request: RequestId,
    /// The digest of the content, which must be the same in a retry.
    pub content: ContentDigest,
    /// When the claim was made, on the sender's clock.
    pub claimed_at_ms: UnixMillis,
    /// The latest time at which the request can still be running, on the sender's clock.
    pub running_until_ms: UnixMillis,
    /// The state of the request.
    pub state: ClaimState,
}

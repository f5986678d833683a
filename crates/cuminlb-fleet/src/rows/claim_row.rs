//! [`ClaimRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::ClaimState;

/// The claim of one non-idempotent request, which keeps it from running twice.
///
/// Only the request that wrote the row may be sent, and only the process that received it may
/// settle the row. A settled row changes again only when [`ClaimState::NotRun`] or the end of
/// its retention lets another request take it over.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// The team that may learn the outcome.
    pub team: TeamId,
    /// The service.
    pub service: ServiceId,
    /// The node that sends the request.
    pub sender: NodeId,
    /// Tells the sender's start from later ones, which know nothing of the request.
    pub incarnation: Incarnation,
    /// The request that may be sent.
    pub request: RequestId,
    /// The content, which a repeat must share.
    pub content: ContentDigest,
    /// When the claim was made, by the sender's clock.
    pub claimed_at_ms: UnixMillis,
    /// When the request has ended at the latest, by the sender's clock.
    pub running_until_ms: UnixMillis,
    /// What became of the request.
    pub state: ClaimState,
}

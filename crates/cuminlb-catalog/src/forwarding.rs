//! [`Forwarding`].

use cuminlb_types::prelude::*;

/// What a node tells the instance beside the caller's own request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarding {
    /// The instance that the request is meant for.
    pub instance: InstanceId,
    /// The team that holds the caller's key.
    pub team: Option<TeamId>,
    /// The time that is left for the answer.
    pub left_ms: Millis,
    /// The last event that the caller has; the stream goes on behind it.
    pub resume_after: Option<EventId>,
    /// The rank among waiting requests, 0 first.
    pub urgency: Urgency,
}

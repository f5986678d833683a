//! The data that a node adds to a forwarded request.

use cuminlb_types::prelude::*;

/// The data that a node sends to an instance in addition to the caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarding {
    /// The instance that the request is meant for.
    pub instance: InstanceId,
    /// The team that the caller's key belongs to.
    pub team: Option<TeamId>,
    /// The time left until the deadline of the response.
    pub remaining_ms: Millis,
    /// The last event that the caller has received; the stream resumes after it.
    pub resume_after: Option<EventId>,
    /// The rank among waiting requests; lower values go first.
    pub urgency: Urgency,
}

//! [`AnswerHead`].

use cuminlb_types::prelude::*;

/// What the headers of an instance's answer say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// The request that the answer says it belongs to.
    pub request: Option<RequestId>,
    /// Whether the instance vouches for the answer.
    pub is_proved: bool,
    /// Whether the instance says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another instance has the address.
    pub is_other_instance: bool,
    /// Whether the body was changed on its way.
    pub is_encoded: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// How long the instance keeps an unused connection.
    pub keep_alive_ms: Option<Millis>,
    /// Whether the instance closes the connection after this answer.
    pub closes: bool,
    /// When the instance wants the request sent again.
    pub retry_after_ms: Option<Millis>,
}

//! The parsed headers of an instance's response.

use cuminlb_types::prelude::*;

use crate::ResponseStatus;

/// The status code and the parsed headers of an instance's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: ResponseStatus,
    /// The request that the response names as its own.
    pub request: Option<RequestId>,
    /// Whether the response carries the header that proves that an instance produced it.
    pub is_attested: bool,
    /// Whether the response states that the instance did not run the request.
    pub is_not_executed: bool,
    /// Whether the address belongs to another instance than the request was meant for.
    pub is_other_instance: bool,
    /// Whether the instance states that it leaves, so that nothing more should be sent to it.
    pub is_leaving: bool,
    /// Whether the body was modified in transit, by a content encoding or a transfer coding other than
    /// chunks.
    pub is_encoded: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body has neither a length nor chunks, and ends with the connection.
    pub ends_with_connection: bool,
    /// The time for which the instance keeps an idle connection open.
    pub keep_alive_ms: Option<Millis>,
    /// Whether the instance closes the connection after this response.
    pub closes: bool,
    /// The delay after which the instance allows the request to be sent again.
    pub retry_after_ms: Option<Millis>,
    /// What the response states about the rate of requests that the instance takes.
    pub rate_limit: RateStatement,
}

impl ResponseHead {
    /// Returns for how long the instance wants no requests, if the response refuses one and says so.
    pub fn refusal_delay(&self) -> Option<Millis> {
        self.retry_after_ms
            .filter(|_| matches!(self.status.get(), 429 | 503))
    }

    /// Returns what the instance states about its rate limit. A response of another instance states
    /// nothing, and only one that shows where it comes from can state that there is no limit.
    pub fn rate_statement(&self) -> Option<RateStatement> {
        let is_of_instance = self.is_attested || self.is_not_executed;
        let is_statement = is_of_instance || self.rate_limit != RateStatement::Unlimited;
        (is_statement && !self.is_other_instance).then_some(self.rate_limit)
    }
}

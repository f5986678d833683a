//! [`SlotTerms`].

use cuminlb_types::prelude::*;

/// The bounds in time that a ledger relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotTerms {
    /// The longest time from a grant until the engine counts the request as running.
    pub max_send_ms: Millis,
    /// The longest time by which the load in a report lags behind.
    pub max_report_lag_ms: Millis,
    /// The time without a word from a holder after which its slots count as lost.
    pub holder_timeout_ms: Millis,
    /// The longest time that an engine goes on with a request whose connection was closed.
    pub max_cancel_ms: Millis,
    /// The longest time that a request runs.
    pub max_request_ms: Millis,
}

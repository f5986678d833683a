//! The time limits on which slot accounting relies.

use cuminlb_types::prelude::*;

/// The upper bounds on delays that make the accounting of a ledger safe, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotTiming {
    /// The maximum time from a grant until the engine counts the request as running.
    pub max_send_ms: Millis,
    /// The maximum age of the load in a report, relative to the probe.
    pub max_report_lag_ms: Millis,
    /// The time without a message from a holder after which its slots are orphaned.
    pub holder_timeout_ms: Millis,
    /// The maximum time for which an engine continues a request whose connection was closed.
    pub max_cancel_ms: Millis,
    /// The maximum time for which a request runs.
    pub max_request_ms: Millis,
}

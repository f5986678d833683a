//! The state of a claimed request, as stored in its row.

use serde::{Deserialize, Serialize};

use super::RecordedResponse;

/// The state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The sender may send the request, or has sent it.
    Running,
    /// The request has not run and will not run.
    NotRun,
    /// The request was sent and no complete response was received.
    Unknown,
    /// A complete response was received.
    Answered(RecordedResponse),
}

//! [`ClaimState`].

use serde::{Deserialize, Serialize};

use super::RecordedOutcome;

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The sender may send the request, or has sent it.
    Running,
    /// The request has not run and will not run.
    NotRun,
    /// The request was sent and gave no whole answer.
    Unknown,
    /// The request was answered.
    Answered(RecordedOutcome),
}

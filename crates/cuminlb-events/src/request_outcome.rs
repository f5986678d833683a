//! The outcomes of requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The caller received the complete response.
    Answered,
    /// The request was refused and not run.
    NotRun,
    /// The request was sent to an upstream and its result is unknown.
    Unknown,
    /// The caller disconnected before the response was complete.
    CallerLeft,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::CallerLeft => "caller_left",
        })
    }
}

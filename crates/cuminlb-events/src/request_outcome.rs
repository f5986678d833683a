//! [`RequestOutcome`].

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The caller has the whole answer.
    Answered,
    /// The request was refused and has not run.
    NotRun,
    /// The request was sent to an upstream and its result is not known.
    Unknown,
    /// The caller left before the answer was whole.
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

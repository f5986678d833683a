//! The result of one load request, as its caller observes it.

use std::fmt;

/// How one request ended, as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The response was received in full.
    Completed,
    /// The request was refused.
    Refused {
        /// The code of the refusal.
        code: String,
        /// The run state in the refusal, which states whether the request has run.
        run_state: String,
    },
    /// The response was truncated or its content was wrong.
    InvalidResponse,
    /// The caller's timeout elapsed.
    TimedOut,
    /// The connection failed, or it was lost before a response.
    NoResponse,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Completed => f.write_str("answered"),
            Self::Refused { code, run_state } => write!(f, "refused {code} ({run_state})"),
            Self::InvalidResponse => f.write_str("broken"),
            Self::TimedOut => f.write_str("timed out"),
            Self::NoResponse => f.write_str("no answer"),
        }
    }
}

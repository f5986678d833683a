//! [`Outcome`].

use std::fmt;

/// What became of one request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// A refusal with this code and run state came.
    Refused {
        /// The code of the refusal.
        code: String,
        /// Whether the request has run.
        run_state: String,
    },
    /// The answer broke off or was not the right one.
    Broken,
    /// The caller left because its time ran out.
    TimedOut,
    /// No connection could be made, or it broke without an answer.
    NoAnswer,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered => f.write_str("answered"),
            Self::Refused { code, run_state } => write!(f, "refused {code} ({run_state})"),
            Self::Broken => f.write_str("broken"),
            Self::TimedOut => f.write_str("timed out"),
            Self::NoAnswer => f.write_str("no answer"),
        }
    }
}

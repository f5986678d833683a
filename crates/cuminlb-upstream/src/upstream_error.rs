//! [`UpstreamError`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use crate::StreamError;

/// The reason why an upstream gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum UpstreamError {
    /// The request never left this node.
    #[error("the upstream can't be reached: {reason}")]
    NotSent {
        /// What the connection reported.
        reason: SmolStr,
    },
    /// The upstream says that it has not run the request.
    #[error("the upstream refused the request with status {status} and has not run it")]
    RefusedNotRun {
        /// The HTTP status.
        status: u16,
    },
    /// The connection broke after the request was sent.
    #[error("the connection to the upstream broke: {reason}")]
    Broken {
        /// What the connection reported.
        reason: SmolStr,
    },
    /// Nothing came for longer than the bound.
    #[error("the upstream was silent for {idle_ms}")]
    Silent {
        /// The bound.
        idle_ms: Millis,
    },
    /// The answer is not one that can be passed on.
    #[error(transparent)]
    BadAnswer(#[from] StreamError),
    /// The time that the request may take is over.
    #[error("the request did not end within {timeout_ms}")]
    DeadlineExceeded {
        /// The bound.
        timeout_ms: Millis,
    },
    /// This node shuts down, and the time for the requests in flight is over.
    #[error("this node shut down before the answer was whole")]
    ShutDown,
}

impl UpstreamError {
    /// Tells whether another try may do better: the time of the request is not over.
    pub const fn may_pass(&self) -> bool {
        match self {
            Self::DeadlineExceeded { .. } | Self::ShutDown => false,
            Self::NotSent { .. }
            | Self::RefusedNotRun { .. }
            | Self::Broken { .. }
            | Self::Silent { .. }
            | Self::BadAnswer(_) => true,
        }
    }

    /// Tells whether the request may have run.
    pub const fn may_have_run(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::RefusedNotRun { .. } => false,
            Self::Broken { .. }
            | Self::Silent { .. }
            | Self::BadAnswer(_)
            | Self::DeadlineExceeded { .. }
            | Self::ShutDown => true,
        }
    }
}

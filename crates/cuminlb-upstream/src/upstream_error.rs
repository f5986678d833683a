//! The errors of a request to an upstream, classified for the decision to retry it.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use crate::StreamError;

/// The reason why an upstream returned no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum UpstreamError {
    /// The request was not sent.
    #[error("the request could not be sent to the upstream: {reason}")]
    NotSent {
        /// The error of the connection.
        reason: SmolStr,
    },
    /// The upstream reports that it has not run the request.
    #[error("the upstream refused the request with status {status} and has not run it")]
    RefusedNotRun {
        /// The HTTP status code.
        status: u16,
    },
    /// The connection failed after it was established, so the request may have been sent.
    #[error("the connection to the upstream failed: {reason}")]
    Broken {
        /// The error of the connection.
        reason: SmolStr,
    },
    /// No data was received within the idle timeout.
    #[error("no data from the upstream within {idle_ms}")]
    IdleTimeout {
        /// The idle timeout.
        idle_ms: Millis,
    },
    /// The response can't be forwarded to the caller.
    #[error(transparent)]
    InvalidResponse(#[from] StreamError),
    /// The deadline of the request has passed.
    #[error("the request did not complete within {timeout_ms}")]
    DeadlineExceeded {
        /// The timeout of the request.
        timeout_ms: Millis,
    },
    /// This node is shutting down, and its drain timeout has passed.
    #[error("this node shut down before the response was complete")]
    ShutDown,
}

impl UpstreamError {
    /// Returns whether another attempt may succeed: neither the deadline nor the drain timeout has
    /// passed.
    pub const fn is_retryable(&self) -> bool {
        match self {
            Self::DeadlineExceeded { .. } | Self::ShutDown => false,
            Self::NotSent { .. }
            | Self::RefusedNotRun { .. }
            | Self::Broken { .. }
            | Self::IdleTimeout { .. }
            | Self::InvalidResponse(_) => true,
        }
    }

    /// Returns whether the request may have run.
    pub const fn may_have_run(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::RefusedNotRun { .. } => false,
            Self::Broken { .. }
            | Self::IdleTimeout { .. }
            | Self::InvalidResponse(_)
            | Self::DeadlineExceeded { .. }
            | Self::ShutDown => true,
        }
    }
}

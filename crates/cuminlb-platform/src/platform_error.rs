//! Errors of calls to the platform, and whether a failed call may have had an effect.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The connection to the service failed; the call has had no effect.
    #[error("could not connect to the platform at {address}: {reason}")]
    Unreachable {
        /// The address of the service.
        address: SmolStr,
        /// The error of the connection attempt.
        reason: SmolStr,
    },
    /// The call was sent, but no complete response arrived; it may have taken effect.
    #[error("no response from the platform within {timeout_ms}; the call may have taken effect")]
    NoResponse {
        /// The time limit of the call.
        timeout_ms: Millis,
    },
    /// The response was lost, and other writers may have changed the same rows since, so the rows
    /// no longer show whether the call took effect.
    #[error("the response was lost, and the same rows have been written since")]
    Overwritten,
    /// The service responded with an error status.
    #[error("the platform refused the call with HTTP status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// A request or response body could not be encoded or decoded.
    #[error("invalid message in a call to the platform: {reason}")]
    Malformed {
        /// Why it is invalid.
        reason: SmolStr,
    },
}

impl PlatformError {
    /// Returns whether the call may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } => false,
            Self::NoResponse { .. }
            | Self::Overwritten
            | Self::Refused { .. }
            | Self::Malformed { .. } => true,
        }
    }
}

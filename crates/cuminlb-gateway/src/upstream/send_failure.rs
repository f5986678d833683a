//! The failure to exchange a request with an instance.

use smol_str::SmolStr;

/// Why a request received no response from an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum SendFailure {
    /// No connection could be opened.
    #[error("not connected: {reason}")]
    NotConnected {
        /// The error of the attempt to connect.
        reason: SmolStr,
    },
    /// No byte of the request has left this node.
    #[error("not sent: {reason}")]
    NotSent {
        /// The error that the connection reported.
        reason: SmolStr,
    },
    /// The request may have run.
    #[error("no response: {reason}")]
    NoResponse {
        /// The error that the connection reported.
        reason: SmolStr,
    },
}

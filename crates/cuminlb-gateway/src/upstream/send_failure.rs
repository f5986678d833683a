//! The failure to exchange a request with an instance.

use cuminlb_routing::LinkFailure;
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
        /// How the link failed.
        failure: LinkFailure,
    },
    /// This node does not reach the instance, and no other node forwards the request.
    #[error("not sent: no node reaches the instance")]
    NoForwarder,
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

impl SendFailure {
    /// Returns how the link to the instance failed, if no connection could be opened.
    pub(crate) const fn link_failure(&self) -> Option<LinkFailure> {
        match self {
            Self::NotConnected { failure, .. } => Some(*failure),
            Self::NoForwarder | Self::NotSent { .. } | Self::NoResponse { .. } => None,
        }
    }
}

//! The error type of calls to peers.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a call to a peer got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// There is no connection to the peer.
    #[error("no connection to the peer: {reason}")]
    NotConnected {
        /// The error of the connection attempt.
        reason: SmolStr,
    },
    /// The other end did not present the peer token in time, or presented a wrong one.
    #[error("the peer token handshake failed")]
    HandshakeFailed,
    /// No response arrived in time, or the connection failed.
    #[error("no response from the peer within {timeout_ms}: {reason}")]
    NoResponse {
        /// The timeout of the call.
        timeout_ms: Millis,
        /// The error of the call.
        reason: SmolStr,
    },
}

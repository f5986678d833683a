//! [`PeerError`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a call to a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// There is no connection to the peer.
    #[error("no connection to the peer: {reason}")]
    NotConnected {
        /// What the connection reported.
        reason: SmolStr,
    },
    /// The other end did not show the peer token.
    #[error("the other end did not show the peer token")]
    BadToken,
    /// No answer came in time, or the connection broke.
    #[error("no answer from the peer within {timeout_ms}: {reason}")]
    NoAnswer {
        /// The time that was allowed.
        timeout_ms: Millis,
        /// What the connection reported.
        reason: SmolStr,
    },
}

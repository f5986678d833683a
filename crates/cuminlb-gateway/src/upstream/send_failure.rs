//! [`SendFailure`].

use smol_str::SmolStr;

/// The reason why a request got no answer from an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum SendFailure {
    /// No byte of the request has left this node.
    #[error("not sent: {reason}")]
    NotSent {
        /// What the connection reported.
        reason: SmolStr,
    },
    /// The request may have run.
    #[error("no answer: {reason}")]
    NoResponse {
        /// What the connection reported.
        reason: SmolStr,
    },
}

//! Why a stream to a caller was aborted.

use smol_str::SmolStr;

/// Why a stream to a caller was aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("stream aborted: {reason}")]
pub(super) struct StreamError {
    /// The cause.
    pub(super) reason: SmolStr,
}

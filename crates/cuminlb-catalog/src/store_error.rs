//! [`StoreError`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a call to the platform's store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The call did not reach the store; it has had no effect.
    #[error("the store can't be reached: {reason}")]
    Unreachable {
        /// What the connection reported.
        reason: SmolStr,
    },
    /// No answer came; the call may take effect now or later.
    #[error("no answer from the store within {timeout_ms}")]
    NoAnswer {
        /// The time that was waited.
        timeout_ms: Millis,
    },
    /// The store has refused the call, which has had no effect.
    #[error("the store refused the call with status {status}")]
    Refused {
        /// The status code.
        status: u16,
    },
    /// The changes since the version asked for are no longer known; read the table whole.
    #[error("the store no longer knows the changes since that version")]
    HistoryGone,
    /// The answer can't be read.
    #[error("the store's answer can't be read: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: SmolStr,
    },
}

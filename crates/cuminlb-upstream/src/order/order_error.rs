//! [`OrderError`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why an engine gave no report or did not carry out an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OrderError {
    /// The instance can't be reached.
    #[error("the instance can't be reached: {reason}")]
    Unreachable {
        /// What the connection reported.
        reason: SmolStr,
    },
    /// No answer came in time; an order may have been carried out.
    #[error("no answer from the instance within {timeout_ms}")]
    NoAnswer {
        /// The time that was waited.
        timeout_ms: Millis,
    },
    /// The engine has seen a higher fencing number.
    #[error("the engine refuses the order: its fencing number is old")]
    Fenced,
    /// The engine refused the order for another reason.
    #[error("the engine refuses the order with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The answer can't be read.
    #[error("the answer of the instance can't be read: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: SmolStr,
    },
}

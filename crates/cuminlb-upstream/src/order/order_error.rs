//! The error of a probe of an instance or of an order to it.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why an engine returned no report or did not execute an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OrderError {
    /// No connection to the instance could be opened, so nothing was sent.
    #[error("the instance is unreachable: {reason}")]
    Unreachable {
        /// The error of the connection.
        reason: SmolStr,
    },
    /// No complete response was received; an order may have been executed.
    #[error("no response from the instance within {timeout_ms}")]
    NoResponse {
        /// The timeout of the call.
        timeout_ms: Millis,
    },
    /// The engine has seen a higher fencing number.
    #[error("the engine refused the order because its fencing number is outdated")]
    Fenced,
    /// The engine refused the order for another reason.
    #[error("the engine refused the order with status {status}")]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// A request could not be encoded, or the response could not be decoded.
    #[error("malformed message to or from the instance: {reason}")]
    Malformed {
        /// The error of the encoder or the decoder.
        reason: SmolStr,
    },
}

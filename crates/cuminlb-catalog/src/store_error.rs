//! The errors of calls to the platform's store.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// An error of a call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The call did not reach the store and has had no effect.
    #[error("failed to connect to the store: {reason}")]
    Unreachable {
        /// The error of the connection.
        reason: SmolStr,
    },
    /// No response arrived in time; the call may take effect now or later.
    #[error("no response from the store within {timeout_ms}")]
    NoResponse {
        /// The timeout of the call.
        timeout_ms: Millis,
    },
    /// The store refused the call, which has had no effect.
    #[error("the store refused the call with status {status}")]
    Refused {
        /// The status code.
        status: u16,
    },
    /// The store no longer keeps the changes since the requested version, or was restored from a
    /// copy since it gave that version. The caller must read the full table.
    #[error("the store no longer keeps the changes since the requested version")]
    HistoryGone,
    /// The response is of an earlier era than one that was received before, and is not used. A
    /// write may have been lost when the store was restored.
    #[error("the response of the store is of era {era}, which has ended")]
    EraEnded {
        /// The era of the response.
        era: StoreEra,
    },
    /// The response cannot be parsed.
    #[error("failed to parse the response of the store: {reason}")]
    Malformed {
        /// Why parsing failed.
        reason: SmolStr,
    },
}

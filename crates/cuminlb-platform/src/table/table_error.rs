//! Errors of the table client.

use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};

use crate::PlatformError;

/// The reason why an operation on the table failed or has an unknown result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TableError {
    /// The call to the table failed, and nothing has been written.
    #[error("the call to the table failed: {0}")]
    NotReached(#[source] PlatformError),
    /// The write may have taken effect, and reading the rows back did not settle it in time.
    #[error("unknown whether operation {operation} took effect: {source}")]
    Unknown {
        /// The operation.
        operation: OperationId,
        /// The last error.
        source: PlatformError,
    },
    /// The content of a row can't be decoded by this version of the program.
    #[error("could not decode row {key}: {reason}")]
    Decode {
        /// The row.
        key: RowKey,
        /// The error of the decoder.
        reason: SmolStr,
    },
    /// A value can't be encoded as JSON.
    #[error("could not encode a value for row {key}: {reason}")]
    Encode {
        /// The row.
        key: RowKey,
        /// The error of the encoder.
        reason: SmolStr,
    },
}

impl TableError {
    pub(crate) fn encode(key: &RowKey, error: &serde_json::Error) -> Self {
        Self::Encode {
            key: key.clone(),
            reason: error.to_smolstr(),
        }
    }

    pub(crate) fn decode(key: &RowKey, error: &serde_json::Error) -> Self {
        Self::Decode {
            key: key.clone(),
            reason: error.to_smolstr(),
        }
    }
}

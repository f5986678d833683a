//! [`TableError`].

use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};

use crate::PlatformError;

/// The reason why an operation on the table has no certain result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TableError {
    /// The table could not be asked, and nothing has been written.
    #[error("the table was not reached: {0}")]
    NotReached(#[source] PlatformError),
    /// The write may have taken effect, and reading back did not tell in time.
    #[error("it is unknown whether operation {operation} took effect: {source}")]
    Unknown {
        /// The operation.
        operation: OperationId,
        /// The last error.
        source: PlatformError,
    },
    /// A row holds something that this version can't read.
    #[error("row {key} can't be read: {reason}")]
    Decode {
        /// The row.
        key: RowKey,
        /// What is wrong with it.
        reason: SmolStr,
    },
    /// A value has no JSON form.
    #[error("a value for row {key} can't be written: {reason}")]
    Encode {
        /// The row.
        key: RowKey,
        /// What is wrong with it.
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

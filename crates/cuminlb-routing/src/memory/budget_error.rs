//! The reason why a body can't be held.

use cuminlb_types::prelude::*;

/// The reason why a body can't be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum BudgetError {
    /// The body is longer than any may be.
    #[error("the body is larger than {max_bytes}")]
    TooLong {
        /// The maximum length.
        max_bytes: ByteCount,
    },
    /// Its source has too many long bodies at once.
    #[error("its source has too many long bodies at once")]
    SourceHoldsTooMuch,
    /// All sources together have too many long bodies at once.
    #[error("too many long bodies are held at once")]
    NodeHoldsTooMuch,
}

//! The options of the plain service's stand-in.

use cuminlb_types::prelude::*;

/// Options of a plain service's stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainOptions {
    /// The duration of one call in milliseconds.
    pub call_ms: Millis,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self { call_ms: Millis(5) }
    }
}

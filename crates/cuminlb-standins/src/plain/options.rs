//! [`PlainOptions`].

use cuminlb_types::prelude::*;

/// How a plain service's stand-in behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainOptions {
    /// The time that one call takes.
    pub call_ms: Millis,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self { call_ms: Millis(5) }
    }
}

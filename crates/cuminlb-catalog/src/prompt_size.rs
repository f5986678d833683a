//! The size of a request in tokens.

use cuminlb_types::prelude::*;

/// The number of tokens of a request's prompt, and the limit for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// The number of tokens of the prompt.
    pub prompt: TokenCount,
    /// The maximum number of tokens of the response.
    pub max_response: TokenCount,
}
